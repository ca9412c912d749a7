//! Tests of the command line: settings are checked before the daemon starts.

use std::process::{Command, Output};

const KEY: &str = "0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f";

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_plantaind"))
        .args(arguments)
        .env("PLANTAIN_PEER_KEY", KEY)
        .output()
        .expect("run plantaind")
}

const ENTRY: [&str; 15] = [
    "entry",
    "--peer-listen",
    "127.0.0.1:5",
    "--name",
    "entry-0",
    "--region",
    "central",
    "--zone",
    "kandy",
    "--platform",
    "127.0.0.1:1",
    "--admin",
    "127.0.0.1:2",
    "--listen",
    "127.0.0.1:3",
];
const AGENT: [&str; 15] = [
    "agent",
    "--name",
    "scribe-0",
    "--region",
    "central",
    "--zone",
    "kandy",
    "--platform",
    "127.0.0.1:1",
    "--admin",
    "127.0.0.1:2",
    "--listen",
    "127.0.0.1:3",
    "--target",
    "127.0.0.1:4",
];

struct BadSetting {
    base: &'static [&'static str],
    added: &'static [&'static str],
    expected: &'static str,
}

#[test]
fn invalid_settings_exit_with_one_error_line_and_status_2() {
    let cases = [
        BadSetting { base: &[], added: &[], expected: "COMMAND" },
        BadSetting { base: &ENTRY[..13], added: &[], expected: "--listen" },
        BadSetting { base: &ENTRY, added: &["--colour", "red"], expected: "--colour" },
        BadSetting { base: &ENTRY[..13], added: &["--listen", "nowhere"], expected: "nowhere" },
        BadSetting { base: &ENTRY[..13], added: &["--listen", "127.0.0.1:2"], expected: "--admin" },
        BadSetting { base: &ENTRY, added: &["--policy", "best"], expected: "--policy" },
        BadSetting { base: &ENTRY, added: &["--body-limit", "5"], expected: "--body-limit" },
        BadSetting { base: &ENTRY, added: &["--requests", "0"], expected: "--requests" },
        BadSetting { base: &ENTRY, added: &["--peer-key", "abc"], expected: "--peer-key" },
        BadSetting { base: &ENTRY, added: &["--log-level", "loud"], expected: "--log-level" },
        BadSetting { base: &AGENT, added: &[], expected: "--base or --service" },
        BadSetting { base: &AGENT, added: &["--base", "s"], expected: "--weight-store" },
        BadSetting {
            base: &AGENT,
            added: &["--base", "a", "--service", "b"],
            expected: "only one",
        },
        BadSetting { base: &AGENT, added: &["--service", "a b"], expected: "--service" },
        BadSetting {
            base: &AGENT,
            added: &["--service", "desk", "--load-rate", "-1"],
            expected: "--load-rate",
        },
    ];
    for case in cases {
        let output = run(&[case.base, case.added].concat());
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{:?}: {error}", case.added);
        assert_eq!(error.trim().lines().count(), 1, "{:?}: {error}", case.added);
        assert!(error.contains(case.expected), "{:?}: {error}", case.added);
    }
}

#[test]
fn check_prints_the_settings_without_secrets() {
    for (base, added) in [(&ENTRY[..], &[][..]), (&AGENT[..], &["--service", "desk"][..])] {
        let output = run(&[base, added, &["--check"]].concat());
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{text}");
        assert!(text.contains("\"zone\": \"kandy\"") && text.contains("hidden"), "{text}");
        assert!(!text.contains(KEY), "{text}");
    }
}

#[test]
fn help_names_each_setting_and_its_variable() {
    let output = run(&["agent", "--help"]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success());
    for word in ["--weight-store", "PLANTAIN_WEIGHT_STORE", "--slots", "--engine-checks-fencing"] {
        assert!(text.contains(word), "{word} is missing: {text}");
    }
}
