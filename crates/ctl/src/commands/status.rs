//! Status of all processes, and the wait until a change is in force in each of them.

use super::{CommandContext, CommandError};
use crate::output::{self, TableRow};
use plantain_net::{
    client::url,
    platform::records::{ENTRY_KIND, EntryRecord, HostState, SLOT_KIND, SlotRecord},
};
use serde::Serialize;
use serde_json::{Value, json};
use std::{
    fmt::Write,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::sleep};

/// Time limit for reading a process's status page.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which processes are queried while a change propagates.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of processes that a message names; it only counts the others.
const MAX_NAMED_PROCESSES: usize = 10;

/// A process: its announcement on the platform, and its own status page.
#[derive(Clone, Debug, Serialize)]
struct ProcessRow {
    role: &'static str,
    name: String,
    region: String,
    zone: String,
    admin: SocketAddr,
    host: &'static str,
    leaving: bool,
    reported: Option<Value>,
}

impl ProcessRow {
    fn revision(&self) -> Option<u64> {
        self.reported.as_ref()?.get("revision")?.as_u64()
    }

    fn number(&self, field: &str) -> String {
        let value = self.reported.as_ref().and_then(|reported| reported.get(field));
        value.and_then(Value::as_u64).map_or_else(String::new, |number| number.to_string())
    }

    fn state(&self) -> &'static str {
        match (&self.reported, self.leaving) {
            (_, true) => "leaving",
            (None, _) => "no answer",
            (Some(_), _) => "answers",
        }
    }
}

impl TableRow for ProcessRow {
    const HEADS: &'static [&'static str] = &[
        "ROLE", "NAME", "REGION", "ZONE", "HOST", "STATE", "REVISION", "RUNNING", "QUEUED",
        "RESIDENT",
    ];

    fn cells(&self) -> Vec<String> {
        let residents = self.reported.as_ref().and_then(|reported| reported.get("residents"));
        let residents = residents
            .and_then(Value::as_array)
            .map_or(String::new(), |keys| keys.len().to_string());
        vec![
            self.role.to_owned(),
            self.name.clone(),
            self.region.clone(),
            self.zone.clone(),
            self.host.to_owned(),
            self.state().to_owned(),
            self.revision().map_or_else(String::new, |revision| revision.to_string()),
            self.number("running"),
            self.number("queued"),
            residents,
        ]
    }
}

pub(super) async fn execute(context: &CommandContext<'_>) -> Result<(), CommandError> {
    let root = context.store.root().await?.and_then(|object| object.value).unwrap_or_default();
    let rows = read_processes(context).await?;
    if context.settings.json {
        output::print_json(&json!({
            "revision": root.revision, "preset": root.preset, "author": root.author,
            "summary": root.summary, "processes": rows,
        }));
        return Ok(());
    }
    println!(
        "revision {} by {} ({}), preset {} in force\n",
        root.revision, root.author, root.summary, root.preset
    );
    output::print_rows(&rows, false);
    Ok(())
}

/// Waits until every process that is not draining has `revision`; on timeout, the error names the others.
pub(super) async fn wait_in_force(
    context: &CommandContext<'_>,
    revision: u64,
    limit: Duration,
) -> Result<(), CommandError> {
    let started = Instant::now();
    loop {
        let rows = read_processes(context).await?;
        let behind: Vec<String> = rows
            .iter()
            .filter(|row| !row.leaving && row.revision().is_none_or(|known| known < revision))
            .map(describe_behind)
            .collect();
        if behind.is_empty() {
            let millis = started.elapsed().as_millis();
            if !context.settings.json {
                println!("in force in {} processes after {millis} ms", rows.len());
            }
            return Ok(());
        }
        if started.elapsed() >= limit {
            let more = behind.len().saturating_sub(MAX_NAMED_PROCESSES);
            let mut text =
                behind.iter().take(MAX_NAMED_PROCESSES).cloned().collect::<Vec<_>>().join(", ");
            if more > 0 {
                let _ = write!(text, " and {more} more");
            }
            let message = format!("revision {revision} was made, but is not in force in {text}");
            return Err(CommandError::Behind(message));
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn describe_behind(row: &ProcessRow) -> String {
    match row.revision() {
        Some(revision) => format!("{} {} (at {revision})", row.role, row.name),
        None => format!("{} {} (no answer)", row.role, row.name),
    }
}

async fn read_processes(context: &CommandContext<'_>) -> Result<Vec<ProcessRow>, CommandError> {
    let mut rows = list_processes(context).await?;
    let mut queries = JoinSet::new();
    for (index, row) in rows.iter().enumerate() {
        let (http, uri) = (context.http.clone(), url(row.admin, "/status"));
        queries.spawn(async move { (index, http.get_json::<Value>(&uri, STATUS_TIMEOUT).await) });
    }
    while let Some(Ok((index, answer))) = queries.join_next().await {
        // Another process may use the address by now; its status must not be attributed to this one.
        let name = rows[index].name.clone();
        let is_same_process =
            |value: &Value| value.get("name").and_then(Value::as_str) == Some(&*name);
        rows[index].reported = answer.ok().filter(is_same_process);
    }
    Ok(rows)
}

async fn list_processes(context: &CommandContext<'_>) -> Result<Vec<ProcessRow>, CommandError> {
    let hosts = context.platform.hosts().await?;
    let host_state = |name: &str| match hosts.iter().find(|host| host.name == name) {
        Some(host) if host.state == HostState::Leaving => "leaving",
        Some(_) => "live",
        None => "not listed",
    };
    let entries = context.platform.list::<EntryRecord>(ENTRY_KIND).await?.items;
    let slots = context.platform.list::<SlotRecord>(SLOT_KIND).await?.items;
    let entries = entries.into_iter().filter_map(|item| item.value).map(|entry| ProcessRow {
        role: "entry",
        host: host_state(&entry.name),
        name: entry.name,
        region: entry.region.to_string(),
        zone: entry.zone.to_string(),
        admin: entry.admin,
        leaving: false,
        reported: None,
    });
    let slots = slots.into_iter().filter_map(|item| item.value).map(|slot| ProcessRow {
        role: "agent",
        host: host_state(&slot.target.name),
        name: slot.target.name.to_string(),
        region: slot.target.region.to_string(),
        zone: slot.target.zone.to_string(),
        admin: slot.admin,
        leaving: slot.target.leaving,
        reported: None,
    });
    Ok(entries.chain(slots).collect())
}
