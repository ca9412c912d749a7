//! Tests of the command line: settings are checked before the daemon starts.

use std::{
    env, fs,
    process::{Command, Output, id},
};

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
        BadSetting { base: &ENTRY, added: &["--memory-mb", "5"], expected: "--memory-mb" },
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

const SITE_FILE: &str = r#"{"name":"router-0","region":"r","zone":"a","listen":"127.0.0.1:3",
 "ready":"127.0.0.1:4","peer_listen":"127.0.0.1:5","peers":[],"link_port":6,"store":"127.0.0.1:7",
 "bounds":{"drain_ms":2000,"stop_s":8,"repeat_ratio":0.2,"repeat_window_s":10,"repeat_slack":20,
 "limits":{"window_s":10,"overage":0.1,"slack":0}}}"#;

struct BadBound {
    from: &'static str,
    to: &'static str,
    expected: &'static str,
}

/// Guards against a router that panics on a time in its settings file that no duration can hold, or whose sums
/// overflow, and against memory in which it cannot run.
#[test]
fn a_settings_file_with_a_value_out_of_range_is_rejected() {
    let cases = [
        BadBound { from: "\"stop_s\":8", to: "\"stop_s\":1e300", expected: "bounds.stop_s" },
        BadBound { from: "\"stop_s\":8", to: "\"stop_s\":1e19", expected: "bounds.stop_s" },
        BadBound { from: "dow_s\":10,\"re", to: "dow_s\":1e25,\"re", expected: "repeat_window_s" },
        BadBound { from: "dow_s\":10,\"ov", to: "dow_s\":1e25,\"ov", expected: "limits.window_s" },
        BadBound { from: "\"bounds\"", to: "\"memory_mb\":1,\"bounds\"", expected: "memory_mb" },
        BadBound { from: "\"bounds\"", to: "\"memory_mb\":1e30,\"bounds\"", expected: "memory_mb" },
        BadBound { from: "2000", to: "18446744073709551615", expected: "bounds.drain_ms" },
    ];
    let path = env::temp_dir().join(format!("plantain-settings-{}.json", id()));
    let check = |text: &str| {
        fs::write(&path, text).expect("write settings");
        let path = path.to_str().expect("a path");
        run(&["router", "--settings", path, "--metrics", "127.0.0.1:8", "--check"])
    };
    let good = check(SITE_FILE);
    assert!(good.status.success(), "{}", String::from_utf8_lossy(&good.stderr));
    for case in cases {
        let text = SITE_FILE.replace(case.from, case.to);
        assert_ne!(text, SITE_FILE, "{}", case.expected);
        let output = check(&text);
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{}: {error}", case.to);
        assert!(error.contains(case.expected), "{}: {error}", case.to);
    }
    fs::remove_file(&path).expect("remove settings");
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
