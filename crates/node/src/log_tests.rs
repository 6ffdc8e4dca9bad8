//! Unit tests of the format of trace lines and of the rate limit of log lines.

use super::*;

#[test]
fn trace_line_gives_the_unix_time_and_is_formatted_only_if_the_trace_is_on() {
    assert_eq!(Trace::new(false, 5).format(SECOND, format_args!("x")), None);
    let line = Trace::new(true, 3 * SECOND + 250_000).format(SECOND, format_args!("send id={}", 7));
    assert_eq!(
        line.as_deref(),
        Some("kitefork: trace t=4.000250 send id=7\n")
    );
}

#[test]
fn log_lines_over_the_limit_of_their_kind_are_suppressed_and_counted() {
    let mut log = Log::default();
    let written = (0..100)
        .filter(|_| log.admit(SECOND, "a").is_some())
        .count();
    assert_eq!(
        (written, log.admit(SECOND, "b")),
        (MAX_LINES_PER_WINDOW as usize, Some(0))
    );
    assert_eq!(log.admit(SECOND + WINDOW, "a"), Some(90));
}
