//! Tests of the command-line tool without a cluster.

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
    message: &'static str,
}

#[test]
fn invalid_commands_name_the_fault() {
    let cases = [
        BadCommand { arguments: &[], status: 2, message: "COMMAND" },
        BadCommand { arguments: &["adapter", "fly"], status: 2, message: "fly" },
        BadCommand { arguments: &["--wait", "0", "status"], status: 2, message: "--wait" },
        BadCommand { arguments: &["--author", " ", "status"], status: 2, message: "--author" },
        BadCommand {
            arguments: &["adapter", "add", "--base", "b", "--versions", "1,x", "a"],
            status: 2,
            message: "--versions",
        },
        BadCommand {
            arguments: &["adapter", "import", "/nowhere"],
            status: 2,
            message: "/nowhere",
        },
        BadCommand {
            arguments: &["service", "put", "--route", "POST stamps", "desk"],
            status: 2,
            message: "--route",
        },
        BadCommand { arguments: &["status"], status: 1, message: "platform" },
        BadCommand { arguments: &["losses", "/nowhere"], status: 2, message: "/nowhere" },
        BadCommand { arguments: &["losses", "/dev/null"], status: 2, message: "no line" },
    ];
    for case in cases {
        let output = run(case.arguments);
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(case.status), "{:?}: {error}", case.arguments);
        assert!(error.contains(case.message), "{:?}: {error}", case.arguments);
    }
}
