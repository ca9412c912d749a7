//! Commands on plain services and their routes.

use super::{CommandContext, CommandError};
use crate::{
    options::ServiceCommand,
    output::{self, TableRow},
};
use plantain_core::config::{ConfigEdit, RouteRecord, ServiceRecord};

impl TableRow for ServiceRecord {
    const HEADS: &'static [&'static str] = &["SERVICE", "ROUTES"];

    fn cells(&self) -> Vec<String> {
        let routes = self.routes.iter().map(describe_route).collect::<Vec<_>>().join("; ");
        vec![self.name.to_string(), routes]
    }
}

fn describe_route(route: &RouteRecord) -> String {
    let retry = if route.idempotent { "repeat" } else { "once" };
    format!("{} {} {retry}", route.method, route.path_prefix)
}

pub(super) async fn execute(
    context: &CommandContext<'_>,
    command: ServiceCommand,
) -> Result<(), CommandError> {
    match command {
        ServiceCommand::Put { routes, name } => {
            let routes = routes.iter().map(|rule| parse_route(rule)).collect::<Result<_, _>>()?;
            let record = ServiceRecord { name: name.as_str().into(), routes };
            let summary = format!("put service {name}");
            context.change(ConfigEdit::PutService(record), &summary).await
        }
        ServiceCommand::Remove { name } => {
            let summary = format!("remove service {name}");
            context.change(ConfigEdit::RemoveService(name.into()), &summary).await
        }
        ServiceCommand::List => {
            let services = context.snapshot().await?.to_document().services;
            let services: Vec<ServiceRecord> = services.into_values().collect();
            output::print_rows(&services, context.settings.json);
            Ok(())
        }
    }
}

fn parse_route(rule: &str) -> Result<RouteRecord, CommandError> {
    let words: Vec<&str> = rule.split_whitespace().collect();
    let idempotent = match words.get(2) {
        Some(&"once") => false,
        Some(&"repeat") => true,
        _ => {
            return Err(CommandError::Invalid(format!(
                "--route: `{rule}`: expected METHOD /PATH once|repeat"
            )));
        }
    };
    Ok(RouteRecord { method: words[0].to_owned(), path_prefix: words[1].to_owned(), idempotent })
}
