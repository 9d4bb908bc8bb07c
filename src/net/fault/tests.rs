use super::*;
use rstest::rstest;

#[rstest]
#[case::aborted(libc::ECONNABORTED, Fault::Connection)]
#[case::interrupted(libc::EINTR, Fault::Connection)]
#[case::protocol(libc::EPROTO, Fault::Connection)]
#[case::network_down(libc::ENETDOWN, Fault::Connection)]
#[case::network_unreachable(libc::ENETUNREACH, Fault::Connection)]
#[case::no_protocol_option(libc::ENOPROTOOPT, Fault::Connection)]
#[case::host_down(libc::EHOSTDOWN, Fault::Connection)]
#[case::host_unreachable(libc::EHOSTUNREACH, Fault::Connection)]
#[case::not_on_the_net(libc::ENONET, Fault::Connection)]
#[case::firewall(libc::EPERM, Fault::Connection)]
#[case::timed_out(libc::ETIMEDOUT, Fault::Connection)]
#[case::descriptors_of_the_process(libc::EMFILE, Fault::Local)]
#[case::descriptors_of_the_system(libc::ENFILE, Fault::Local)]
#[case::buffers(libc::ENOBUFS, Fault::Local)]
#[case::memory(libc::ENOMEM, Fault::Local)]
#[case::bad_descriptor(libc::EBADF, Fault::Fatal)]
#[case::not_listening(libc::EINVAL, Fault::Fatal)]
#[case::no_socket(libc::ENOTSOCK, Fault::Fatal)]
#[case::no_stream(libc::EOPNOTSUPP, Fault::Fatal)]
fn a_failed_accept(#[case] number: i32, #[case] expected: Fault) {
    assert_eq!(
        classify(SystemCall::Accept, &io::Error::from_raw_os_error(number)),
        expected
    );
}

#[rstest]
#[case::refused(libc::ECONNREFUSED, Fault::Host)]
#[case::reset(libc::ECONNRESET, Fault::Host)]
#[case::timed_out(libc::ETIMEDOUT, Fault::Host)]
#[case::host_unreachable(libc::EHOSTUNREACH, Fault::Host)]
#[case::host_down(libc::EHOSTDOWN, Fault::Host)]
#[case::no_port(libc::EADDRNOTAVAIL, Fault::Local)]
#[case::port_in_use(libc::EADDRINUSE, Fault::Local)]
#[case::no_route_entries(libc::EAGAIN, Fault::Local)]
#[case::network_unreachable(libc::ENETUNREACH, Fault::Local)]
#[case::network_down(libc::ENETDOWN, Fault::Local)]
#[case::firewall(libc::EPERM, Fault::Local)]
#[case::access(libc::EACCES, Fault::Local)]
#[case::descriptors_of_the_process(libc::EMFILE, Fault::Local)]
#[case::descriptors_of_the_system(libc::ENFILE, Fault::Local)]
#[case::buffers(libc::ENOBUFS, Fault::Local)]
#[case::memory(libc::ENOMEM, Fault::Local)]
#[case::interrupted(libc::EINTR, Fault::Connection)]
#[case::family(libc::EAFNOSUPPORT, Fault::Fatal)]
fn a_failed_connect(#[case] number: i32, #[case] expected: Fault) {
    assert_eq!(
        classify(SystemCall::Connect, &io::Error::from_raw_os_error(number)),
        expected
    );
}
