//! A library for LD_PRELOAD that makes system calls of a process under test fail. Loaded by tests and the soak alone.
//!
//! Three things drive it: `FAULT_SHIM`, calls that fail now and then; `FAULT_SHIM_FILES`, a file with the faults of a
//! folder that hold just now; `FAULT_SHIM_WALL`, a file with a number of seconds by which the wall clock is stepped from the
//! moment in which the file says so, while the monotonic clock runs on. Their forms stand in [`faults`].
//!
//! The one place of the project with `unsafe`: each block says why it is sound.

pub mod faults;

use faults::{Effect, Rate, strike_file, strike_path, wall_step};
use std::ffi::{CStr, OsStr, c_char, c_int, c_void};
use std::os::unix::ffi::OsStrExt;
use std::sync::OnceLock;

/// The function of this name in the library behind this one.
fn next(name: &CStr) -> usize {
    // SAFETY: the name is a string that ends in zero; RTLD_NEXT is a handle that dlsym knows.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) as usize }
}

fn set_errno(number: c_int) {
    // SAFETY: the pointer is the calling thread's own error number, valid for as long as the thread runs.
    unsafe { *libc::__errno_location() = number };
}

/// Ends the process as SIGKILL from outside would.
fn kill_self() {
    // SAFETY: kill(2) with the process's own number touches no memory.
    unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
}

/// How many bytes a call that is cut short moves: half, and one at the least.
fn half(length: usize) -> usize {
    length.div_ceil(2)
}

/// The C library's function of a name, as the type that it has.
macro_rules! real {
    ($name:literal, fn($($argument:ty),*) -> $result:ty) => {{
        static REAL: OnceLock<usize> = OnceLock::new();
        let address = *REAL.get_or_init(|| next($name));
        // SAFETY: the address is that of the C library's function of this name, which has this type.
        unsafe { std::mem::transmute::<usize, unsafe extern "C" fn($($argument),*) -> $result>(address) }
    }};
}

/// accept4(2), which may fail without having taken a connection.
///
/// # Safety
/// As accept4(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut libc::sockaddr,
    length: *mut libc::socklen_t,
    flags: c_int,
) -> c_int {
    static RATE: Rate = Rate::of("accept4");
    if let Some(Effect::Fail(number)) = RATE.strike() {
        set_errno(number);
        return -1;
    }
    let real = real!(
        c"accept4",
        fn(c_int, *mut libc::sockaddr, *mut libc::socklen_t, c_int) -> c_int
    );
    // SAFETY: the caller keeps to accept4(2), and everything is passed on as it came.
    unsafe { real(socket, address, length, flags) }
}

/// connect(2), which may fail without having sent anything.
///
/// # Safety
/// As connect(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(
    socket: c_int,
    address: *const libc::sockaddr,
    length: libc::socklen_t,
) -> c_int {
    static RATE: Rate = Rate::of("connect");
    if let Some(Effect::Fail(number)) = RATE.strike() {
        set_errno(number);
        return -1;
    }
    let real = real!(
        c"connect",
        fn(c_int, *const libc::sockaddr, libc::socklen_t) -> c_int
    );
    // SAFETY: the caller keeps to connect(2), and everything is passed on as it came.
    unsafe { real(socket, address, length) }
}

/// recv(2), which may fail or read a part of what is there.
///
/// # Safety
/// As recv(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(
    socket: c_int,
    bytes: *mut c_void,
    length: usize,
    flags: c_int,
) -> isize {
    static RATE: Rate = Rate::of("recv");
    let length = match RATE.strike() {
        Some(Effect::Fail(number)) => {
            set_errno(number);
            return -1;
        }
        Some(Effect::Short | Effect::HalfThenKill) => length.min(1),
        None => length,
    };
    let real = real!(c"recv", fn(c_int, *mut c_void, usize, c_int) -> isize);
    // SAFETY: the caller keeps to recv(2); the length is at most the caller's.
    unsafe { real(socket, bytes, length, flags) }
}

/// send(2), which may fail or write a part.
///
/// # Safety
/// As send(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    socket: c_int,
    bytes: *const c_void,
    length: usize,
    flags: c_int,
) -> isize {
    static RATE: Rate = Rate::of("send");
    let length = match RATE.strike() {
        Some(Effect::Fail(number)) => {
            set_errno(number);
            return -1;
        }
        Some(Effect::Short | Effect::HalfThenKill) => half(length),
        None => length,
    };
    let real = real!(c"send", fn(c_int, *const c_void, usize, c_int) -> isize);
    // SAFETY: the caller keeps to send(2); the length is at most the caller's.
    unsafe { real(socket, bytes, length, flags) }
}

/// sendto(2), which may fail.
///
/// # Safety
/// As sendto(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendto(
    socket: c_int,
    bytes: *const c_void,
    length: usize,
    flags: c_int,
    to: *const libc::sockaddr,
    to_length: libc::socklen_t,
) -> isize {
    static RATE: Rate = Rate::of("sendto");
    if let Some(Effect::Fail(number)) = RATE.strike() {
        set_errno(number);
        return -1;
    }
    let real = real!(
        c"sendto",
        fn(c_int, *const c_void, usize, c_int, *const libc::sockaddr, libc::socklen_t) -> isize
    );
    // SAFETY: the caller keeps to sendto(2), and everything is passed on as it came.
    unsafe { real(socket, bytes, length, flags, to, to_length) }
}

/// recvfrom(2), which may fail.
///
/// # Safety
/// As recvfrom(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recvfrom(
    socket: c_int,
    bytes: *mut c_void,
    length: usize,
    flags: c_int,
    from: *mut libc::sockaddr,
    from_length: *mut libc::socklen_t,
) -> isize {
    static RATE: Rate = Rate::of("recvfrom");
    if let Some(Effect::Fail(number)) = RATE.strike() {
        set_errno(number);
        return -1;
    }
    let real = real!(
        c"recvfrom",
        fn(c_int, *mut c_void, usize, c_int, *mut libc::sockaddr, *mut libc::socklen_t) -> isize
    );
    // SAFETY: the caller keeps to recvfrom(2), and everything is passed on as it came.
    unsafe { real(socket, bytes, length, flags, from, from_length) }
}

/// writev(2), which may fail or write a part.
///
/// # Safety
/// As writev(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(file: c_int, parts: *const libc::iovec, count: c_int) -> isize {
    static RATE: Rate = Rate::of("writev");
    let real = real!(c"writev", fn(c_int, *const libc::iovec, c_int) -> isize);
    match RATE.strike() {
        Some(Effect::Fail(number)) => {
            set_errno(number);
            return -1;
        }
        Some(Effect::Short | Effect::HalfThenKill) if count > 0 => {
            // SAFETY: the caller gives `count` parts that can be read, and there is one at the least.
            let mut first = unsafe { *parts };
            first.iov_len = half(first.iov_len);
            // SAFETY: the part lies in the caller's first one; it outlives the call.
            return unsafe { real(file, &first, 1) };
        }
        _ => {}
    }
    // SAFETY: the caller keeps to writev(2), and everything is passed on as it came.
    unsafe { real(file, parts, count) }
}

/// epoll_wait(2), which may be interrupted.
///
/// # Safety
/// As epoll_wait(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    poll: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    static RATE: Rate = Rate::of("epoll_wait");
    if let Some(Effect::Fail(number)) = RATE.strike() {
        set_errno(number);
        return -1;
    }
    let real = real!(
        c"epoll_wait",
        fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int
    );
    // SAFETY: the caller keeps to epoll_wait(2), and everything is passed on as it came.
    unsafe { real(poll, events, most, timeout) }
}

/// pwrite64(2) to a file, which may fail, write a part, or be the process's last act.
///
/// # Safety
/// As pwrite64(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pwrite64(
    file: c_int,
    bytes: *const c_void,
    length: usize,
    offset: libc::off64_t,
) -> isize {
    let effect = strike_file("pwrite64", file);
    let part = match effect {
        Some(Effect::Fail(number)) => {
            set_errno(number);
            return -1;
        }
        Some(Effect::Short | Effect::HalfThenKill) => half(length),
        None => length,
    };
    let real = real!(
        c"pwrite64",
        fn(c_int, *const c_void, usize, libc::off64_t) -> isize
    );
    // SAFETY: the caller keeps to pwrite64(2); the length is at most the caller's.
    let written = unsafe { real(file, bytes, part, offset) };
    if effect == Some(Effect::HalfThenKill) {
        kill_self();
    }
    written
}

/// fsync(2), which may fail.
///
/// # Safety
/// As fsync(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if let Some(Effect::Fail(number)) = strike_file("fsync", file) {
        set_errno(number);
        return -1;
    }
    let real = real!(c"fsync", fn(c_int) -> c_int);
    // SAFETY: the caller keeps to fsync(2).
    unsafe { real(file) }
}

/// fdatasync(2), which may fail.
///
/// # Safety
/// As fdatasync(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    if let Some(Effect::Fail(number)) = strike_file("fdatasync", file) {
        set_errno(number);
        return -1;
    }
    let real = real!(c"fdatasync", fn(c_int) -> c_int);
    // SAFETY: the caller keeps to fdatasync(2).
    unsafe { real(file) }
}

/// ftruncate64(2), which may fail.
///
/// # Safety
/// As ftruncate64(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(file: c_int, length: libc::off64_t) -> c_int {
    if let Some(Effect::Fail(number)) = strike_file("ftruncate64", file) {
        set_errno(number);
        return -1;
    }
    let real = real!(c"ftruncate64", fn(c_int, libc::off64_t) -> c_int);
    // SAFETY: the caller keeps to ftruncate64(2), and everything is passed on as it came.
    unsafe { real(file, length) }
}

/// rename(2), which may fail.
///
/// # Safety
/// As rename(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller gives strings that end in zero.
    let path = unsafe { CStr::from_ptr(to) };
    if let Some(Effect::Fail(number)) =
        strike_path("rename", OsStr::from_bytes(path.to_bytes()).as_ref())
    {
        set_errno(number);
        return -1;
    }
    let real = real!(c"rename", fn(*const c_char, *const c_char) -> c_int);
    // SAFETY: the caller keeps to rename(2), and everything is passed on as it came.
    unsafe { real(from, to) }
}

/// clock_gettime(2), whose wall clock may be stepped.
///
/// # Safety
/// As clock_gettime(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    let real = real!(
        c"clock_gettime",
        fn(libc::clockid_t, *mut libc::timespec) -> c_int
    );
    // SAFETY: the caller keeps to clock_gettime(2), and everything is passed on as it came.
    let done = unsafe { real(clock, time) };
    if clock == libc::CLOCK_REALTIME && done == 0 {
        // SAFETY: the call has succeeded, so the caller's pointer is to a time that may be written.
        unsafe { (*time).tv_sec += wall_step() };
    }
    done
}
