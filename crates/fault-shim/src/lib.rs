//! A library that tests preload (`LD_PRELOAD`) into the processes that they start. It makes
//! selected C library calls fail, transfer fewer bytes, start or return late, or read a stepped
//! wall clock; [`plan`] describes the possible faults.
//!
//! The plan is read from the environment variable `KITEFORK_FAULTS`, the seed of its random numbers
//! from `KITEFORK_FAULT_SEED`. Without a plan, every call passes through unchanged. This is the
//! only crate of the workspace with `unsafe` code; it is not part of the shipped programs.
#![deny(missing_docs)]

pub mod plan;

use std::ffi::CStr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};

use libc::{
    c_int, c_void, clockid_t, epoll_event, nfds_t, pollfd, size_t, sockaddr, socklen_t, ssize_t,
    timespec,
};

use crate::plan::{Call, Fault, Plan};

/// Environment variable that holds the plan; if it is absent, every call passes through unchanged.
const PLAN_VARIABLE: &str = "KITEFORK_FAULTS";
/// Environment variable that holds the seed of the plan's random numbers, an unsigned 64-bit
/// integer. The seed is 1 if the variable is absent or invalid.
const SEED_VARIABLE: &str = "KITEFORK_FAULT_SEED";

/// The plan of this process and the time from which its time spans count.
struct Shim {
    plan: Mutex<Plan>,
    /// Monotonic time of the first intercepted call, in milliseconds.
    started_ms: u64,
}

static SHIM: OnceLock<Option<Shim>> = OnceLock::new();

/// Reads the monotonic clock, in milliseconds, by a direct system call, which is not intercepted.
fn monotonic_ms() -> u64 {
    let mut time = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the kernel writes to a local `timespec`, which outlives the call.
    unsafe {
        libc::syscall(
            libc::SYS_clock_gettime,
            libc::CLOCK_MONOTONIC,
            &raw mut time,
        )
    };
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Reads the plan of this process; returns `None` if it has none. Aborts the process if the plan is
/// invalid: without its faults, a test would pass for the wrong reason.
fn init_shim() -> Option<Shim> {
    let text = std::env::var(PLAN_VARIABLE).ok()?;
    let seed = std::env::var(SEED_VARIABLE)
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    match Plan::parse(&text, seed) {
        Ok(plan) => Some(Shim {
            plan: Mutex::new(plan),
            started_ms: monotonic_ms(),
        }),
        Err(error) => {
            eprintln!("{error}");
            std::process::abort()
        }
    }
}

/// Returns the fault to inject into a call that is made now, or `None` if the call is to pass
/// through unchanged.
fn inject_fault(call: Call) -> Option<Fault> {
    let shim = SHIM.get_or_init(init_shim).as_ref()?;
    let elapsed_ms = monotonic_ms().saturating_sub(shim.started_ms);
    // Never waits for the lock: a signal handler may call this function while its own thread holds
    // the lock. A call that finds the lock taken passes through.
    let mut plan = match shim.plan.try_lock() {
        Ok(plan) => plan,
        Err(std::sync::TryLockError::Poisoned(poisoned)) => PoisonError::into_inner(poisoned),
        Err(std::sync::TryLockError::WouldBlock) => return None,
    };
    plan.inject(call, elapsed_ms)
}

/// Returns the address of the next definition of a symbol after this library's own. The symbol is
/// looked up once; later calls take the address from `cache`, which is 0 before the first lookup.
fn next_symbol(cache: &AtomicUsize, name: &CStr) -> usize {
    let cached = cache.load(Ordering::Relaxed);
    if cached != 0 {
        return cached;
    }
    // SAFETY: `name` ends with a zero byte, and the C library is loaded for as long as the process
    // runs.
    let symbol_address = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize;
    cache.store(symbol_address, Ordering::Relaxed);
    symbol_address
}

fn set_errno(errno: c_int) {
    // SAFETY: the pointer refers to the errno of this thread.
    unsafe { *libc::__errno_location() = errno };
}

/// Sleeps for `ms` milliseconds by a direct system call, which is not intercepted.
fn sleep(ms: u64) {
    let time = timespec {
        tv_sec: (ms / 1_000) as i64,
        tv_nsec: (ms % 1_000) as i64 * 1_000_000,
    };
    // SAFETY: the kernel reads a local `timespec`, which outlives the call.
    unsafe {
        libc::syscall(
            libc::SYS_nanosleep,
            &raw const time,
            std::ptr::null_mut::<timespec>(),
        )
    };
}

/// Defines a function that intercepts the C library's function of the same name, so that a plan can
/// inject faults into calls of it. The optional last macro argument names the length argument that
/// `short` reduces to 1; without it, `short` has no effect.
macro_rules! intercept {
    ($call:expr, $name:literal,
        fn $function:ident($($argument:ident: $type:ty),*) -> $result:ty $(, $length:ident)?) => {
        /// Intercepts the C library's function of this name; calls it unchanged unless the plan
        /// injects a fault.
        ///
        /// # Safety
        ///
        /// The requirements are those of the C library's function of this name.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $function($($argument: $type),*) -> $result {
            static NEXT: AtomicUsize = AtomicUsize::new(0);
            let fault = inject_fault($call);
            match fault {
                Some(Fault::Errno(errno)) => {
                    set_errno(errno);
                    return -1;
                }
                Some(Fault::Short) => {
                    $(let $length = $length.min(1);)?
                    // SAFETY: as for the call below; a shorter length is within the same buffer.
                    return unsafe {
                        std::mem::transmute::<usize, unsafe extern "C" fn($($type),*) -> $result>(
                            next_symbol(&NEXT, $name))($($argument),*)
                    };
                }
                Some(Fault::Sleep(ms)) => sleep(ms),
                Some(Fault::Late(_) | Fault::Step(_)) | None => {}
            }
            // SAFETY: the symbol is the C library's function of this name and has its type; the
            // arguments come from the caller, who must meet that function's requirements.
            let result = unsafe {
                std::mem::transmute::<usize, unsafe extern "C" fn($($type),*) -> $result>(
                    next_symbol(&NEXT, $name))($($argument),*)
            };
            if let Some(Fault::Late(ms)) = fault
                && result > 0
            {
                sleep(ms);
            }
            result
        }
    };
}

intercept!(Call::Accept, c"accept",
    fn accept(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int);
intercept!(Call::Accept, c"accept4",
    fn accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int);
intercept!(Call::Socket, c"socket",
    fn socket(domain: c_int, socket_type: c_int, protocol: c_int) -> c_int);
intercept!(Call::Connect, c"connect",
    fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int);
intercept!(Call::Send, c"send",
    fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t, length);
intercept!(Call::Recv, c"recv",
    fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t, length);
intercept!(Call::EpollCtl, c"epoll_ctl",
    fn epoll_ctl(epoll_fd: c_int, operation: c_int, fd: c_int, event: *mut epoll_event) -> c_int);
intercept!(Call::EpollWait, c"epoll_wait",
    fn epoll_wait(epoll_fd: c_int, events: *mut epoll_event, max_events: c_int,
        timeout: c_int) -> c_int);
intercept!(Call::EpollWait, c"epoll_pwait2",
    fn epoll_pwait2(epoll_fd: c_int, events: *mut epoll_event, max_events: c_int,
        timeout: *const timespec, mask: *const libc::sigset_t) -> c_int);
intercept!(Call::Poll, c"poll", fn poll(fds: *mut pollfd, count: nfds_t, timeout: c_int) -> c_int);

/// Intercepts `clock_gettime`: adds the plan's step to the wall clock. Other clocks are read
/// unchanged.
///
/// # Safety
///
/// The requirements are those of the C library's function of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock_id: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's pointer is valid for one `timespec`.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock_id, time) } as c_int;
    if result == 0
        && clock_id == libc::CLOCK_REALTIME
        && let Some(Fault::Step(seconds)) = inject_fault(Call::Clock)
    {
        // SAFETY: as above; the system call succeeded and has filled in the `timespec`.
        unsafe { (*time).tv_sec += seconds };
    }
    result
}
