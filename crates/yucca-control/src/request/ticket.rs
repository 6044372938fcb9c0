//! Tickets of operators.

use std::sync;

use serde_json::{Value, json};
use yucca_own::{global, ticket};
use yucca_wire::{auth, finding, id};

use crate::connection::listener;
use crate::machine;
use crate::message;
use crate::process::core;
use crate::request::{body, status, view};

/// Accepts or refuses a ticket.
pub async fn submit(
    core: &sync::Arc<core::Core>,
    request: listener::Request,
) -> listener::Response {
    let Some(sender) = sender(&request) else {
        return body::problem(
            http::StatusCode::BAD_REQUEST,
            "no-sender",
            &format!(
                "the header `{}` does not say who sends the ticket",
                auth::SENDER_HEADER
            ),
            "send it with a name",
        );
    };
    let format = format(&request);
    let Some(text) = body::read(request, ticket::MAX_BYTES + 1).await else {
        return body::problem(
            http::StatusCode::PAYLOAD_TOO_LARGE,
            "ticket-too-large",
            &format!("the ticket has more than {} bytes", ticket::MAX_BYTES),
            "divide it into several tickets",
        );
    };
    match ticket::check(&text, format) {
        Ok(checked) => propose(core, checked, sender).await,
        Err(findings) => refuse(&findings),
    }
}

fn sender(request: &listener::Request) -> Option<String> {
    let header = request.headers().get(auth::SENDER_HEADER)?;
    let name = header.to_str().ok()?.trim();
    (!name.is_empty()).then(|| name.to_string())
}

fn format(request: &listener::Request) -> ticket::Format {
    let media_type = request.headers().get(http::header::CONTENT_TYPE);
    let media_type = media_type.and_then(|value| value.to_str().ok());
    match media_type {
        Some(media_type) if media_type.contains("toml") => ticket::Format::Toml,
        _ => ticket::Format::Json,
    }
}

fn refuse(findings: &[finding::Finding]) -> listener::Response {
    metrics::counter!("yucca_control_tickets_refused_total").increment(1);
    body::problem_with(
        http::StatusCode::UNPROCESSABLE_ENTITY,
        "bad-ticket",
        &format!(
            "the ticket has {} findings; nothing of it took effect",
            findings.len()
        ),
        "mend each finding and send the ticket again",
        json!({ "findings": findings }),
    )
}

/// Takes a ticket to the leader. A ticket that arrives twice gets the same answer twice, so that
/// it may be sent again where an answer was lost on the way.
async fn propose(
    core: &sync::Arc<core::Core>,
    checked: ticket::Checked,
    sender: String,
) -> listener::Response {
    let number = checked.number;
    let command = global::Command::Submit {
        ticket: Box::new(checked),
        sender,
    };
    let request = message::Propose {
        log: message::Log::Global,
        entry: machine::pack(&command),
    };
    let answer = core
        .ask_leader(request, core.settings.timing.accept.0)
        .await;
    let receipt = match answer {
        Some(message::ProposeReply::Applied(receipt)) => receipt,
        Some(message::ProposeReply::Unknown(reason)) => {
            return no_leader(&format!(
                "whether ticket {number} was accepted is not known: {reason}"
            ));
        }
        _ => {
            return no_leader(&format!(
                "whether ticket {number} was accepted is not known: no leader of the global log can be reached"
            ));
        }
    };
    match rmp_serde::from_slice::<global::Reply>(&receipt.reply) {
        Ok(reply) => answer_reply(reply),
        Err(error) => no_leader(&format!(
            "the answer to ticket {number} is malformed: {error}"
        )),
    }
}

fn answer_reply(reply: global::Reply) -> listener::Response {
    match reply {
        global::Reply::Accepted { number, version } => {
            metrics::counter!("yucca_control_tickets_accepted_total").increment(1);
            let value = json!({ "number": number, "version": version });
            body::json(http::StatusCode::OK, &value)
        }
        global::Reply::Refused {
            existing: Some(existing),
            ..
        } => {
            metrics::counter!("yucca_control_tickets_refused_total").increment(1);
            body::problem_with(
                http::StatusCode::CONFLICT,
                "number-taken",
                &format!("ticket {} stands with other content", existing.number),
                "compare the two, and send yours under a number of its own if it is still wanted",
                json!({ "standing": view::accepted_ticket(&existing) }),
            )
        }
        global::Reply::Refused { findings, .. } => refuse(&findings),
        global::Reply::Done | global::Reply::Stale => {
            no_leader("the leader of the global log did not tell what became of the ticket")
        }
    }
}

fn no_leader(detail: &str) -> listener::Response {
    body::problem(
        http::StatusCode::SERVICE_UNAVAILABLE,
        "no-global-leader",
        detail,
        "send the same ticket again, or ask GET /tickets/N; tickets wait while no majority of the global log is connected",
    )
}

/// Lists the newest tickets.
pub async fn list(core: &sync::Arc<core::Core>) -> listener::Response {
    match ask(core, message::Query::Tickets).await {
        Some(tickets) => body::json(http::StatusCode::OK, &tickets),
        None => no_leader("the leader of the global log cannot be reached"),
    }
}

/// Shows a ticket and where it is in force.
pub async fn show(core: &sync::Arc<core::Core>, number: &str) -> listener::Response {
    let Ok(number) = number.parse::<id::Ticket>() else {
        return body::problem(
            http::StatusCode::BAD_REQUEST,
            "bad-number",
            "the path does not end in a ticket's number",
            "ask GET /tickets/N",
        );
    };
    let Some(mut shown) = ask(core, message::Query::Ticket(number)).await else {
        return no_leader("the leader of the global log cannot be reached");
    };
    let version = shown.get("version").and_then(Value::as_u64);
    let Some(version) = version else {
        return body::problem(
            http::StatusCode::NOT_FOUND,
            "no-such-ticket",
            &format!("ticket {number} was not accepted"),
            "send it, if it is wanted",
        );
    };
    let force = status::in_force(core, id::Version(version)).await;
    if let Some(members) = shown.as_object_mut() {
        members.insert("in_force".into(), force);
    }
    body::json(http::StatusCode::OK, &shown)
}

async fn ask(core: &core::Core, question: message::Query) -> Option<Value> {
    let answer = core
        .ask_leader(question, core.settings.timing.answer.0)
        .await?;
    match answer {
        message::QueryReply::Json(text) => serde_json::from_str(&text).ok(),
        _ => None,
    }
}
