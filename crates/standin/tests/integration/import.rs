//! Import of adapter files: a large one and invalid ones.

use crate::support::finish;
use eyre::{Result, ensure};
use plantain_standin::{
    call::ChatCall,
    cluster::{Cluster, plan::ClusterPlan},
};
use std::fmt::Write;

/// Number of imported adapters.
const ADAPTERS: usize = 3_000;
/// The test sends a request to each adapter whose index is a multiple of this number: 50 requests.
const STEP: usize = 60;

#[tokio::test]
async fn three_thousand_adapters_are_imported_and_served() -> Result<()> {
    let cluster = Cluster::start(ClusterPlan::new(2, 3, &["kandy", "nuwara", "hatton"])).await?;
    let mut lines = String::new();
    for index in 0..ADAPTERS {
        let current = 1 + index % 2;
        writeln!(
            lines,
            r#"{{"name":"member-{index}","base":"scribe","versions":[1,2],"current":{current}}}"#
        )?;
    }
    let file = cluster.directory().join("adapters.jsonl");
    std::fs::write(&file, lines)?;
    let file = file.to_string_lossy().into_owned();
    cluster.control_ok(&["--wait", "30", "adapter", "import", &file]).await?;
    for index in (0..ADAPTERS).step_by(STEP) {
        let model = format!("member-{index}@{}", 1 + index % 2);
        let call = ChatCall::new(&format!("member-{index}"), &format!("Is slot {index} free?"), 4);
        let answer = call.send(cluster.http(), cluster.entry(index / STEP % 2)).await?;
        call.check(&answer, &model)?;
    }
    finish(cluster).await
}

/// A second line that makes a file invalid, and the text that the error must contain.
struct BadFile {
    text: &'static str,
    expected_error: &'static str,
}

#[tokio::test]
async fn bad_file_names_the_line_and_the_field() -> Result<()> {
    let cluster = Cluster::start(ClusterPlan::new(1, 1, &["kandy"])).await?;
    let valid_line = r#"{"name":"a","base":"scribe","versions":[1],"current":1}"#;
    let cases = [
        BadFile { text: "{", expected_error: "line 2" },
        BadFile { text: r#"{"name":"b","base":"scribe","current":1}"#, expected_error: "versions" },
        BadFile {
            text: r#"{"name":"b c","base":"scribe","versions":[1],"current":1}"#,
            expected_error: "adapter name",
        },
        BadFile {
            text: r#"{"name":"b","base":"scribe","versions":[1],"current":2}"#,
            expected_error: "current",
        },
        BadFile { text: valid_line, expected_error: "listed twice" },
    ];
    for case in cases {
        let file = cluster.directory().join("bad.jsonl");
        std::fs::write(&file, format!("{valid_line}\n{}\n", case.text))?;
        let output = cluster.control(&["adapter", "import", &file.to_string_lossy()]).await?;
        let error = String::from_utf8_lossy(&output.stderr);
        ensure!(output.status.code() == Some(2), "{}: {:?}", case.text, output.status);
        ensure!(
            error.contains("line 2") && error.contains(case.expected_error),
            "{}: {error}",
            case.text
        );
    }
    let list = cluster.control_ok(&["--json", "adapter", "list"]).await?;
    ensure!(list.trim() == "[]", "an invalid file changed the configuration: {list}");
    finish(cluster).await
}
