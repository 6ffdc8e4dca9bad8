//! Unit tests of parsing scenarios and of checking their expectations.

use std::collections::BTreeMap;

use super::*;

const MINIMAL: &str = "about = \"x\"\nlength_s = 1\n[fleet]\nnodes = 2\nbackends = 2\n";

#[test]
fn parse_error_names_the_line_the_key_or_the_step_that_is_wrong() {
    for (extra, expected) in [
        ("[list]\ncall = 3\n", "line 7, column 1"),
        ("[[at]]\ns = 0\ndo = \"jump\"\n", "line 8, column 6"),
        (
            "[[at]]\ns = 0\ndo = \"kill\"\npart = [0, 2]\n",
            "at 0 s: part must",
        ),
        ("[[expect]]\nfigure = \"calls\"\n", "expect `calls`"),
        (
            "[traffic]\nrate = 3\n",
            "traffic: rate is above 0, but there is no class",
        ),
    ] {
        let error = Scenario::parse(&format!("{MINIMAL}{extra}"))
            .unwrap_err()
            .to_string();
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn unmet_expectations_and_missing_figures_are_reported() {
    let text = format!(
        "{MINIMAL}[[expect]]\nfigure = \"a\"\nmost = 2\n[[expect]]\nfigure = \"b\"\nleast = 1\n"
    );
    let scenario = Scenario::parse(&text).unwrap();
    let figures = |a: f64| BTreeMap::from([("a".to_string(), a)]);
    let unmet = |a: f64| -> Vec<String> {
        let unmet = scenario.unmet(&figures(a));
        unmet.iter().map(ToString::to_string).collect()
    };
    assert_eq!(unmet(2.0), ["b: the report has no such figure"]);
    assert_eq!(unmet(3.0)[0], "a is 3.000, wanted at most 2");
    assert_eq!(unmet(f64::NAN).len(), 2);
}

/// Keys and words of earlier versions, each with its current equivalent.
const SPELLINGS: [(&str, &str); 8] = [
    (
        "[list]\nrow_us = 2\nmost_wait_ms = 3\n",
        "[discovery]\nendpoint_us = 2\nmax_wait_ms = 3\n",
    ),
    (
        "[backend]\nroom = 4\ncold_from = 0.5\ncold_s = 6\n",
        "[backend]\ncapacity = 4\nslow_start_from = 0.5\nslow_start_s = 6\n",
    ),
    (
        "[traffic]\nodd_rate = 7\n[[traffic.class]]\nname = \"c\"\neffect = \"safe\"\n\
         aim_ms = 8\ndeadline_ms = 9\nworth = 10\n",
        "[traffic]\nmisbehaving_rate = 7\n[[traffic.class]]\nname = \"c\"\n\
         idempotency = \"idempotent\"\nlatency_objective_ms = 8\nclient_timeout_ms = 9\n\
         priority_weight = 10\n",
    ),
    (
        "[[traffic.class]]\nname = \"c\"\neffect = \"keyed\"\naim_ms = 8\ndeadline_ms = 9\n",
        "[[traffic.class]]\nname = \"c\"\nidempotency = \"idempotency_key\"\n\
         latency_objective_ms = 8\nclient_timeout_ms = 9\n",
    ),
    (
        "[[traffic.class]]\nname = \"c\"\neffect = \"unsafe\"\naim_ms = 8\ndeadline_ms = 9\n",
        "[[traffic.class]]\nname = \"c\"\nidempotency = \"not_idempotent\"\n\
         latency_objective_ms = 8\nclient_timeout_ms = 9\n",
    ),
    (
        "[[at]]\ns = 1\ndo = \"list-up\"\n[[at]]\ns = 1\ndo = \"list-busy\"\n\
         [[at]]\ns = 1\ndo = \"list-silent\"\n[[at]]\ns = 1\ndo = \"list-half\"\n",
        "[[at]]\ns = 1\ndo = \"discovery-up\"\n[[at]]\ns = 1\ndo = \"discovery-overloaded\"\n\
         [[at]]\ns = 1\ndo = \"discovery-silent\"\n\
         [[at]]\ns = 1\ndo = \"discovery-truncates\"\n",
    ),
    (
        "[[at]]\ns = 1\ndo = \"list-down\"\n[[at]]\ns = 1\ndo = \"list-restart\"\n\
         [[at]]\ns = 1\ndo = \"list-cut\"\n",
        "[[at]]\ns = 1\ndo = \"discovery-down\"\n[[at]]\ns = 1\ndo = \"discovery-restart\"\n\
         [[at]]\ns = 1\ndo = \"discovery-cut\"\n",
    ),
    (
        "[[at]]\ns = 1\ndo = \"swallow\"\n[[at]]\ns = 1\ndo = \"fail\"\n\
         [[at]]\ns = 1\ndo = \"work\"\n",
        "[[at]]\ns = 1\ndo = \"backend-silent\"\n[[at]]\ns = 1\ndo = \"backend-fails\"\n\
         [[at]]\ns = 1\ndo = \"backend-works\"\n",
    ),
];

#[test]
fn old_spellings_of_keys_parse_to_the_same_scenario_as_the_current_ones() {
    let parse = |text: &str| format!("{:?}", Scenario::parse(text).unwrap());
    for (old, new) in SPELLINGS {
        assert_eq!(
            parse(&format!("{MINIMAL}{old}")),
            parse(&format!("{MINIMAL}{new}"))
        );
    }
    let fleet = |key: &str| parse(&format!("{MINIMAL}{key} = 3\n"));
    assert_eq!(fleet("siblings"), fleet("proxy_count"));
}

#[test]
fn file_in_old_spelling_parses_to_the_same_scenario_as_in_the_current_one() {
    let old = include_str!("../tests/data/old-spelling.toml");
    let new = include_str!("../tests/data/current-spelling.toml");
    let parse = |text: &str| format!("{:?}", Scenario::parse(text).unwrap());
    assert_eq!(parse(old), parse(new));
}
