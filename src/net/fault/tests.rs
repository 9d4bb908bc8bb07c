use super::*;
use rstest::rstest;

#[rstest]
#[case::aborted(libc::ECONNABORTED, ErrorScope::Connection)]
#[case::interrupted(libc::EINTR, ErrorScope::Connection)]
#[case::protocol(libc::EPROTO, ErrorScope::Connection)]
#[case::network_down(libc::ENETDOWN, ErrorScope::Connection)]
#[case::network_unreachable(libc::ENETUNREACH, ErrorScope::Connection)]
#[case::no_protocol_option(libc::ENOPROTOOPT, ErrorScope::Connection)]
#[case::host_down(libc::EHOSTDOWN, ErrorScope::Connection)]
#[case::host_unreachable(libc::EHOSTUNREACH, ErrorScope::Connection)]
#[case::machine_not_on_network(libc::ENONET, ErrorScope::Connection)]
#[case::firewall(libc::EPERM, ErrorScope::Connection)]
#[case::timed_out(libc::ETIMEDOUT, ErrorScope::Connection)]
#[case::process_descriptor_limit(libc::EMFILE, ErrorScope::Local)]
#[case::system_descriptor_limit(libc::ENFILE, ErrorScope::Local)]
#[case::no_buffers(libc::ENOBUFS, ErrorScope::Local)]
#[case::no_memory(libc::ENOMEM, ErrorScope::Local)]
#[case::bad_descriptor(libc::EBADF, ErrorScope::Fatal)]
#[case::not_listening(libc::EINVAL, ErrorScope::Fatal)]
#[case::not_a_socket(libc::ENOTSOCK, ErrorScope::Fatal)]
#[case::not_a_stream_socket(libc::EOPNOTSUPP, ErrorScope::Fatal)]
fn accept_errors_are_classified(#[case] errno: i32, #[case] expected: ErrorScope) {
    assert_eq!(
        classify_error(SystemCall::Accept, &io::Error::from_raw_os_error(errno)),
        expected
    );
}

#[rstest]
#[case::refused(libc::ECONNREFUSED, ErrorScope::Peer)]
#[case::reset(libc::ECONNRESET, ErrorScope::Peer)]
#[case::timed_out(libc::ETIMEDOUT, ErrorScope::Peer)]
#[case::host_unreachable(libc::EHOSTUNREACH, ErrorScope::Peer)]
#[case::host_down(libc::EHOSTDOWN, ErrorScope::Peer)]
#[case::no_port(libc::EADDRNOTAVAIL, ErrorScope::Local)]
#[case::port_in_use(libc::EADDRINUSE, ErrorScope::Local)]
#[case::no_routing_cache_entries(libc::EAGAIN, ErrorScope::Local)]
#[case::network_unreachable(libc::ENETUNREACH, ErrorScope::Local)]
#[case::network_down(libc::ENETDOWN, ErrorScope::Local)]
#[case::firewall(libc::EPERM, ErrorScope::Local)]
#[case::access(libc::EACCES, ErrorScope::Local)]
#[case::process_descriptor_limit(libc::EMFILE, ErrorScope::Local)]
#[case::system_descriptor_limit(libc::ENFILE, ErrorScope::Local)]
#[case::no_buffers(libc::ENOBUFS, ErrorScope::Local)]
#[case::no_memory(libc::ENOMEM, ErrorScope::Local)]
#[case::interrupted(libc::EINTR, ErrorScope::Connection)]
#[case::unsupported_address_family(libc::EAFNOSUPPORT, ErrorScope::Fatal)]
fn connect_errors_are_classified(#[case] errno: i32, #[case] expected: ErrorScope) {
    assert_eq!(
        classify_error(SystemCall::Connect, &io::Error::from_raw_os_error(errno)),
        expected
    );
}
