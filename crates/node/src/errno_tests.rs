//! The tables, entry by entry, as the manual pages have them.

use super::*;

#[test]
fn an_error_of_a_new_connection_is_over_with_it_and_a_shortage_is_not() {
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
fn a_shortage_of_this_machine_does_not_speak_against_a_backend() {
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
fn only_what_a_connection_can_not_outlive_ends_it() {
    for (error, wanted) in [
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
        assert_eq!(of_transfer(error), wanted, "{error}");
    }
    assert_eq!(of_register(Errno::NOMEM), RetryLater);
    assert_eq!(of_register(Errno::NOSPC), RetryLater);
    assert_eq!(of_register(Errno::BADF), Fatal);
}
