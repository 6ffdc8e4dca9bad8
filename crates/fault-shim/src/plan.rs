//! The fault plan: which calls get a fault, which fault, and how often. This module makes no system
//! calls.
//!
//! A plan is a list of rules separated by `;`. A rule is `CALL=FAULT` followed by options separated
//! by `,`:
//!
//! | part | values |
//! | --- | --- |
//! | `CALL` | one of the calls below |
//! | `FAULT` | an errno by name, `short`, `sleep:MS`, `late:MS` or `step:SECONDS`; see [`Fault`] |
//! | `every:N` | the fault is injected into every N-th call (default 1) |
//! | `chance:P` | the fault is injected at random with probability P; overrides `every` |
//! | `from:MS` | the rule applies from this time on (default 0) |
//! | `to:MS` | the rule applies until just before this time (default: for ever) |
//!
//! The times of `from` and `to` count from the first intercepted call of the process. Equal seeds
//! give equal random numbers.
//!
//! Calls: `accept`, `socket`, `connect`, `send`, `recv`, `epoll_ctl`, `epoll_wait`, `poll` and
//! `clock`. On `clock`, only `step` has an effect; on other calls, `step` has none. `short` affects
//! only `send` and `recv`.
//!
//! Example: `accept=ENFILE,every:5;clock=step:3600,from:2000`.

use std::fmt;

/// A kind of intercepted call of the C library.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Accepting a connection: `accept` and `accept4`.
    Accept,
    /// Creating a socket, such as one for a new connection: `socket`.
    Socket,
    /// Establishing a connection from this process: `connect`.
    Connect,
    /// Writing to a socket: `send`.
    Send,
    /// Reading from a socket: `recv`.
    Recv,
    /// Adding a descriptor to an epoll instance, or changing or removing it: `epoll_ctl`.
    EpollCtl,
    /// Waiting for events of an epoll instance: `epoll_wait` and `epoll_pwait2`.
    EpollWait,
    /// Checking whether descriptors are ready, or waiting until they are: `poll`.
    Poll,
    /// Reading the wall clock: `clock_gettime` of `CLOCK_REALTIME`.
    Clock,
}

/// How an intercepted call is changed: it fails, is delayed, or its effect or result is altered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The call is not made and returns -1 with this errno.
    Errno(i32),
    /// The call transfers at most one byte.
    Short,
    /// The call starts after a delay of this many milliseconds.
    Sleep(u64),
    /// The call returns after a delay of this many milliseconds if its result is above 0.
    Late(u64),
    /// The wall clock is ahead by this many seconds, or behind if the number is negative.
    Step(i64),
}

/// A fault, the call that it is injected into, and when and how often.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The call that the fault is injected into.
    pub call: Call,
    /// The fault that is injected into the calls that `every` or `chance` selects.
    pub fault: Fault,
    /// If `chance` is `None`, the fault is injected into each call whose number, counted from 1, is
    /// a multiple of this.
    every: u64,
    /// Probability with which the fault is injected into a call; `None` if `every` decides.
    chance: Option<f64>,
    /// Start of the time span in which the rule applies, in milliseconds after the first
    /// intercepted call of the process.
    from_ms: u64,
    /// End of the time span, exclusive, on the same scale as its start; the maximum if the rule has
    /// no `to`.
    to_ms: u64,
    /// Number of matching calls so far within the time span, whether or not the fault was injected.
    call_count: u64,
}

/// Why a plan is invalid.
#[derive(Debug, PartialEq, Eq)]
pub enum PlanError {
    /// A part of a rule is unknown or malformed.
    InvalidPart {
        /// The text of the invalid part.
        part: String,
        /// The text of the whole rule.
        rule: String,
    },
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PlanError::InvalidPart { part, rule } = self;
        write!(f, "fault plan: invalid part `{part}` in rule `{rule}`")
    }
}

impl std::error::Error for PlanError {}

/// The rules of a fault plan with their call counts, and the state of the plan's random numbers.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    rules: Vec<Rule>,
    /// State of the random number generator that all rules with `chance` share.
    random_state: u64,
}

/// Multiplier of the linear congruential generator (LCG) of Knuth's MMIX.
const LCG_MULTIPLIER: u64 = 6_364_136_223_846_793_005;
/// Increment of the linear congruential generator of Knuth's MMIX.
const LCG_INCREMENT: u64 = 1_442_695_040_888_963_407;

impl Plan {
    /// Parses a plan; `seed` initializes the random numbers of rules with `chance`.
    ///
    /// # Errors
    ///
    /// If a part of a rule is invalid; the error names the first one.
    pub fn parse(text: &str, seed: u64) -> Result<Plan, PlanError> {
        let rules = text
            .split(';')
            .map(str::trim)
            .filter(|rule| !rule.is_empty())
            .map(parse_rule);
        Ok(Plan {
            rules: rules.collect::<Result<_, _>>()?,
            random_state: seed,
        })
    }

    /// Returns the fault to inject into a call that is made `elapsed_ms` after the first
    /// intercepted call, or `None` if there is none. Every rule that applies counts the call and,
    /// if it has a chance, draws a random number; if several rules inject a fault, the fault of the
    /// first one is returned.
    pub fn inject(&mut self, call: Call, elapsed_ms: u64) -> Option<Fault> {
        let random_state = &mut self.random_state;
        let applies = |rule: &&mut Rule| {
            rule.call == call && (rule.from_ms..rule.to_ms).contains(&elapsed_ms)
        };
        let mut injected = None;
        for rule in self.rules.iter_mut().filter(applies) {
            if rule.should_inject(random_state) {
                injected = injected.or(Some(rule.fault));
            }
        }
        injected
    }
}

impl Rule {
    /// Counts a call to which this rule applies, and returns whether the rule's fault is to be
    /// injected into the call.
    fn should_inject(&mut self, random_state: &mut u64) -> bool {
        self.call_count += 1;
        match self.chance {
            Some(chance) => next_random(random_state) < chance,
            None => self.call_count.is_multiple_of(self.every),
        }
    }
}

/// Returns the next random number, uniformly distributed in [0, 1).
fn next_random(random_state: &mut u64) -> f64 {
    *random_state = random_state
        .wrapping_mul(LCG_MULTIPLIER)
        .wrapping_add(LCG_INCREMENT);
    (*random_state >> 11) as f64 / (1u64 << 53) as f64
}

fn parse_rule(text: &str) -> Result<Rule, PlanError> {
    let invalid_part = |part: &str| PlanError::InvalidPart {
        part: part.into(),
        rule: text.into(),
    };
    let (call_and_fault, options) = text.split_once(',').unwrap_or((text, ""));
    let (call, fault) = call_and_fault
        .split_once('=')
        .ok_or_else(|| invalid_part(call_and_fault))?;
    let mut rule = Rule {
        call: parse_call(call).ok_or_else(|| invalid_part(call))?,
        fault: parse_fault(fault).ok_or_else(|| invalid_part(fault))?,
        every: 1,
        chance: None,
        from_ms: 0,
        to_ms: u64::MAX,
        call_count: 0,
    };
    for option in options.split(',').filter(|option| !option.is_empty()) {
        let (name, value) = option.split_once(':').ok_or_else(|| invalid_part(option))?;
        let integer = || value.parse::<u64>().map_err(|_| invalid_part(option));
        match name {
            "every" => rule.every = integer()?.max(1),
            "chance" => rule.chance = Some(value.parse().map_err(|_| invalid_part(option))?),
            "from" => rule.from_ms = integer()?,
            "to" => rule.to_ms = integer()?,
            _ => return Err(invalid_part(option)),
        }
    }
    Ok(rule)
}

fn parse_call(text: &str) -> Option<Call> {
    Some(match text {
        "accept" => Call::Accept,
        "socket" => Call::Socket,
        "connect" => Call::Connect,
        "send" => Call::Send,
        "recv" => Call::Recv,
        "epoll_ctl" => Call::EpollCtl,
        "epoll_wait" => Call::EpollWait,
        "poll" => Call::Poll,
        "clock" => Call::Clock,
        _ => return None,
    })
}

fn parse_fault(text: &str) -> Option<Fault> {
    if let Some(ms) = text.strip_prefix("sleep:") {
        return ms.parse().ok().map(Fault::Sleep);
    }
    if let Some(ms) = text.strip_prefix("late:") {
        return ms.parse().ok().map(Fault::Late);
    }
    if let Some(seconds) = text.strip_prefix("step:") {
        return seconds.parse().ok().map(Fault::Step);
    }
    if text == "short" {
        return Some(Fault::Short);
    }
    errno_from_name(text).map(Fault::Errno)
}

/// Returns the value of an errno by its name; `None` for a name that plans don't support. Plans
/// support errors that `accept(2)`, `socket(2)`, `connect(2)`, `send(2)`, `recv(2)` and `epoll(7)`
/// document, except those of a faulty call, such as EBADF.
fn errno_from_name(name: &str) -> Option<i32> {
    Some(match name {
        "EINTR" => libc::EINTR,
        "EAGAIN" => libc::EAGAIN,
        "ENOMEM" => libc::ENOMEM,
        "ENFILE" => libc::ENFILE,
        "EMFILE" => libc::EMFILE,
        "ENOSPC" => libc::ENOSPC,
        "ENOBUFS" => libc::ENOBUFS,
        "EPROTO" => libc::EPROTO,
        "EPERM" => libc::EPERM,
        "ENETDOWN" => libc::ENETDOWN,
        "ENETUNREACH" => libc::ENETUNREACH,
        "EHOSTDOWN" => libc::EHOSTDOWN,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ECONNABORTED" => libc::ECONNABORTED,
        "ECONNREFUSED" => libc::ECONNREFUSED,
        "ECONNRESET" => libc::ECONNRESET,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        "ENOPROTOOPT" => libc::ENOPROTOOPT,
        "EOPNOTSUPP" => libc::EOPNOTSUPP,
        "ENONET" => libc::ENONET,
        "EPIPE" => libc::EPIPE,
        _ => return None,
    })
}
