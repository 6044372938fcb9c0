//! Submission and display of tickets.

use std::sync;

use serde_json::{Value, json};
use yucca_own::{global, ticket};
use yucca_wire::{auth, finding, id};

use crate::connection::listener;
use crate::machine;
use crate::message;
use crate::process::core;
use crate::request::{body, status, view};

/// Checks a ticket and submits it to the leader of the global log.
pub async fn submit(
    core: &sync::Arc<core::Core>,
    request: listener::Request,
) -> listener::Response {
    let Some(sender) = sender(&request) else {
        return body::problem(
            http::StatusCode::BAD_REQUEST,
            "no-sender",
            &format!(
                "the header `{}` does not name the sender of the ticket",
                auth::SENDER_HEADER
            ),
            "send the header with a name",
        );
    };
    let format = format(&request);
    let Some(text) = body::read(request, ticket::MAX_BYTES + 1).await else {
        return body::problem(
            http::StatusCode::PAYLOAD_TOO_LARGE,
            "ticket-too-large",
            &format!("the ticket is larger than {} bytes", ticket::MAX_BYTES),
            "split it into several tickets",
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
            "the ticket has {} findings; no part of it took effect",
            findings.len()
        ),
        "fix each finding and send the ticket again",
        json!({ "findings": findings }),
    )
}

/// Sends a ticket to the leader of the global log. A ticket that is sent twice gets the same answer
/// twice, so it may be sent again if an answer was lost.
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
                "it is not known whether ticket {number} was accepted: {reason}"
            ));
        }
        _ => {
            return no_leader(&format!(
                "it is not known whether ticket {number} was accepted: no leader of the global log can be reached"
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
                &format!(
                    "ticket {} was already accepted with other content",
                    existing.number
                ),
                "compare the two, and send yours with an unused number if it is still needed",
                json!({ "standing": view::accepted_ticket(&existing) }),
            )
        }
        global::Reply::Refused { findings, .. } => refuse(&findings),
        global::Reply::Done | global::Reply::Stale => {
            no_leader("the leader of the global log did not answer with the result of the ticket")
        }
    }
}

fn no_leader(detail: &str) -> listener::Response {
    body::problem(
        http::StatusCode::SERVICE_UNAVAILABLE,
        "no-global-leader",
        detail,
        "send the same ticket again, or use GET /tickets/N; no ticket is accepted until a majority of the global log is connected",
    )
}

/// Lists the newest tickets.
pub async fn list(core: &sync::Arc<core::Core>) -> listener::Response {
    match ask(core, message::Query::Tickets).await {
        Some(tickets) => body::json(http::StatusCode::OK, &tickets),
        None => no_leader("the leader of the global log cannot be reached"),
    }
}

/// Shows a ticket and the hosts on which it is in effect.
pub async fn show(core: &sync::Arc<core::Core>, number: &str) -> listener::Response {
    let Ok(number) = number.parse::<id::Ticket>() else {
        return body::problem(
            http::StatusCode::BAD_REQUEST,
            "bad-number",
            "the path does not end with the number of a ticket",
            "use GET /tickets/N",
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
            "send it if it is needed",
        );
    };
    let effect = status::in_force(core, id::Version(version)).await;
    if let Some(members) = shown.as_object_mut() {
        members.insert("in_force".into(), effect);
    }
    body::json(http::StatusCode::OK, &shown)
}

async fn ask(core: &core::Core, query: message::Query) -> Option<Value> {
    let answer = core
        .ask_leader(query, core.settings.timing.answer.0)
        .await?;
    match answer {
        message::QueryReply::Json(text) => serde_json::from_str(&text).ok(),
        _ => None,
    }
}
