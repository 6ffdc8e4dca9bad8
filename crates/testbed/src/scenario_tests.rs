//! Unit tests of `scenario`.

use super::*;

const SOUND: &str = "about = \"x\"\nlength_s = 1\n[fleet]\nnodes = 2\nbackends = 2\n";

#[test]
fn faults_name_their_place() {
    for (more, wanted) in [
        ("[list]\ncall = 3\n", "line 7, column 1"),
        ("[[at]]\ns = 0\ndo = \"jump\"\n", "line 8, column 6"),
        (
            "[[at]]\ns = 0\ndo = \"kill\"\npart = [0, 2]\n",
            "at 0 s: parts",
        ),
        ("[[expect]]\nfigure = \"calls\"\n", "expect `calls`"),
        ("[traffic]\nrate = 3\n", "a rate and no class"),
    ] {
        let fault = Scenario::parse(&format!("{SOUND}{more}"))
            .unwrap_err()
            .to_string();
        assert!(fault.contains(wanted), "{fault}");
    }
}

#[test]
fn what_is_not_met_or_not_counted_is_named() {
    let text = format!(
        "{SOUND}[[expect]]\nfigure = \"a\"\nmost = 2\n[[expect]]\nfigure = \"b\"\nleast = 1\n"
    );
    let scenario = Scenario::parse(&text).unwrap();
    let figures = |a: f64| BTreeMap::from([("a".to_string(), a)]);
    assert_eq!(scenario.unmet(&figures(2.0)), ["b was not counted"]);
    assert_eq!(
        scenario.unmet(&figures(3.0))[0],
        "a is 3.000, wanted at most 2"
    );
    assert_eq!(scenario.unmet(&figures(f64::NAN)).len(), 2);
}
