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
#[case::not_on_the_net(libc::ENONET, ErrorScope::Connection)]
#[case::firewall(libc::EPERM, ErrorScope::Connection)]
#[case::timed_out(libc::ETIMEDOUT, ErrorScope::Connection)]
#[case::descriptors_of_the_process(libc::EMFILE, ErrorScope::Local)]
#[case::descriptors_of_the_system(libc::ENFILE, ErrorScope::Local)]
#[case::buffers(libc::ENOBUFS, ErrorScope::Local)]
#[case::memory(libc::ENOMEM, ErrorScope::Local)]
#[case::bad_descriptor(libc::EBADF, ErrorScope::Fatal)]
#[case::not_listening(libc::EINVAL, ErrorScope::Fatal)]
#[case::no_socket(libc::ENOTSOCK, ErrorScope::Fatal)]
#[case::no_stream(libc::EOPNOTSUPP, ErrorScope::Fatal)]
fn a_failed_accept(#[case] number: i32, #[case] expected: ErrorScope) {
    assert_eq!(
        classify_error(SystemCall::Accept, &io::Error::from_raw_os_error(number)),
        expected
    );
}

#[rstest]
#[case::refused(libc::ECONNREFUSED, ErrorScope::Host)]
#[case::reset(libc::ECONNRESET, ErrorScope::Host)]
#[case::timed_out(libc::ETIMEDOUT, ErrorScope::Host)]
#[case::host_unreachable(libc::EHOSTUNREACH, ErrorScope::Host)]
#[case::host_down(libc::EHOSTDOWN, ErrorScope::Host)]
#[case::no_port(libc::EADDRNOTAVAIL, ErrorScope::Local)]
#[case::port_in_use(libc::EADDRINUSE, ErrorScope::Local)]
#[case::no_route_entries(libc::EAGAIN, ErrorScope::Local)]
#[case::network_unreachable(libc::ENETUNREACH, ErrorScope::Local)]
#[case::network_down(libc::ENETDOWN, ErrorScope::Local)]
#[case::firewall(libc::EPERM, ErrorScope::Local)]
#[case::access(libc::EACCES, ErrorScope::Local)]
#[case::descriptors_of_the_process(libc::EMFILE, ErrorScope::Local)]
#[case::descriptors_of_the_system(libc::ENFILE, ErrorScope::Local)]
#[case::buffers(libc::ENOBUFS, ErrorScope::Local)]
#[case::memory(libc::ENOMEM, ErrorScope::Local)]
#[case::interrupted(libc::EINTR, ErrorScope::Connection)]
#[case::family(libc::EAFNOSUPPORT, ErrorScope::Fatal)]
fn a_failed_connect(#[case] number: i32, #[case] expected: ErrorScope) {
    assert_eq!(
        classify_error(SystemCall::Connect, &io::Error::from_raw_os_error(number)),
        expected
    );
}
