//! Tests of the command-line tool by itself.

mod customers;
mod losses;

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_plantainctl"))
        .args(["--platform", "127.0.0.1:1"])
        .args(arguments)
        .output()
        .expect("run plantainctl")
}

struct BadCommand {
    arguments: &'static [&'static str],
    status: i32,
    says: &'static str,
}

#[test]
fn wrong_commands_say_what_is_wrong() {
    let cases = [
        BadCommand { arguments: &[], status: 2, says: "COMMAND" },
        BadCommand { arguments: &["adapter", "fly"], status: 2, says: "fly" },
        BadCommand { arguments: &["--wait", "0", "status"], status: 2, says: "--wait" },
        BadCommand { arguments: &["--author", " ", "status"], status: 2, says: "--author" },
        BadCommand {
            arguments: &["adapter", "add", "--base", "b", "--versions", "1,x", "a"],
            status: 2,
            says: "--versions",
        },
        BadCommand { arguments: &["adapter", "import", "/nowhere"], status: 2, says: "/nowhere" },
        BadCommand {
            arguments: &["service", "put", "--route", "POST stamps", "desk"],
            status: 2,
            says: "--route",
        },
        BadCommand { arguments: &["status"], status: 1, says: "platform" },
        BadCommand { arguments: &["losses", "/nowhere"], status: 2, says: "/nowhere" },
        BadCommand { arguments: &["losses", "/dev/null"], status: 2, says: "no line" },
    ];
    for case in cases {
        let output = run(case.arguments);
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(case.status), "{:?}: {error}", case.arguments);
        assert!(error.contains(case.says), "{:?}: {error}", case.arguments);
    }
}
