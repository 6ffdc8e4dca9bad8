//! Unit tests of the tables of errors, as the manual pages document them.

use super::*;

#[test]
fn accept_retries_connection_errors_now_and_local_shortages_later() {
    for error in [
        Errno::INTR,
        Errno::CONNABORTED,
        Errno::PROTO,
        Errno::NOPROTOOPT,
        Errno::OPNOTSUPP,
        Errno::NETDOWN,
        Errno::NETUNREACH,
        Errno::HOSTDOWN,
        Errno::HOSTUNREACH,
        Errno::NONET,
        Errno::PERM,
    ] {
        assert_eq!(of_accept(error), RetryNow, "{error}");
    }
    for error in [Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert_eq!(of_accept(error), RetryLater, "{error}");
    }
    assert_eq!(of_accept(Errno::MFILE), OutOfDescriptors);
    assert_eq!(of_accept(Errno::AGAIN), WouldBlock);
    assert_eq!(of_accept(Errno::BADF), Fatal);
}

#[test]
fn connect_distinguishes_local_shortages_from_unreachable_backends() {
    for error in [
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
        Errno::NOSPC,
        Errno::NETUNREACH,
        Errno::NETDOWN,
    ] {
        assert_eq!(of_connect(error), RetryLater, "{error}");
    }
    for error in [
        Errno::CONNREFUSED,
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
        Errno::CONNRESET,
    ] {
        assert_eq!(of_connect(error), ConnectionLost, "{error}");
    }
    assert_eq!(of_connect(Errno::INPROGRESS), WouldBlock);
    assert_eq!(of_connect(Errno::MFILE), OutOfDescriptors);
}

#[test]
fn transfer_and_epoll_errors_are_permanent_unless_listed_as_temporary() {
    for (error, expected) in [
        (Errno::INTR, RetryNow),
        (Errno::AGAIN, WouldBlock),
        (Errno::NOBUFS, RetryLater),
        (Errno::NOMEM, RetryLater),
        (Errno::PIPE, ConnectionLost),
        (Errno::CONNRESET, ConnectionLost),
        (Errno::TIMEDOUT, ConnectionLost),
        (Errno::HOSTUNREACH, ConnectionLost),
        (Errno::NETUNREACH, ConnectionLost),
    ] {
        assert_eq!(of_transfer(error), expected, "{error}");
    }
    assert_eq!(of_register(Errno::NOMEM), RetryLater);
    assert_eq!(of_register(Errno::NOSPC), RetryLater);
    assert_eq!(of_register(Errno::BADF), Fatal);
}
