//! Sums over routers' logs.

use plantainctl::commands::losses::{LossCause, sum_losses};

struct LineCase {
    fields: &'static str,
    cause: Option<LossCause>,
    late_ms: u64,
}

fn line(fields: &str) -> String {
    format!(r#"12.5 front-1 {{"msg":"call ended","step":"call","objective_ms":800,{fields}}}"#)
}

#[test]
fn each_line_has_one_cause() {
    let cases = [
        LineCase {
            fields: r#""outcome":"served","first_byte_ms":800,"load_wait_ms":700"#,
            cause: Some(LossCause::InTime),
            late_ms: 0,
        },
        LineCase {
            fields: r#""outcome":"served","first_byte_ms":1000,"load_wait_ms":500"#,
            cause: Some(LossCause::LoadWait),
            late_ms: 200,
        },
        LineCase {
            fields: r#""outcome":"served","first_byte_ms":1000,"load_wait_ms":499"#,
            cause: Some(LossCause::Target),
            late_ms: 200,
        },
        LineCase {
            fields: r#""outcome":"caller_left","first_byte_ms":null,"sends":0"#,
            cause: Some(LossCause::LeftWaiting),
            late_ms: 0,
        },
        LineCase {
            fields: r#""outcome":"caller_left","first_byte_ms":900,"sends":1"#,
            cause: Some(LossCause::LeftRunning),
            late_ms: 100,
        },
        LineCase {
            fields: r#""outcome":"not_run","first_byte_ms":null"#,
            cause: Some(LossCause::Refused),
            late_ms: 0,
        },
        LineCase {
            fields: r#""outcome":"of tomorrow","first_byte_ms":null"#,
            cause: None,
            late_ms: 0,
        },
    ];
    for case in cases {
        let rows = sum_losses([line(case.fields)].into_iter());
        let row = rows.first();
        assert_eq!(row.map(|row| row.cause), case.cause, "{}", case.fields);
        assert_eq!(row.map_or(0, |row| row.late_ms), case.late_ms, "{}", case.fields);
    }
}

/// Logs contain lines of other steps, lines of other programs, and truncated lines. None of them may end the sums.
#[test]
fn other_lines_are_skipped() {
    let good = line(r#""outcome":"served","first_byte_ms":900,"load_wait_ms":600"#);
    let other = r#"{"step":"order","outcome":"served"}"#.to_owned();
    let cut = good[..good.len() / 2].to_owned();
    let lines = [good.clone(), other, cut, String::new(), "no JSON".to_owned(), good];
    let rows = sum_losses(lines.into_iter());
    assert_eq!(rows.len(), 1);
    assert_eq!((rows[0].calls, rows[0].late_ms, rows[0].load_wait_ms), (2, 200, 1_200));
}
