//! The commands of `yucca`, one a file.

use bpaf::Bpaf;

use crate::client;
use crate::error::Error;
use crate::show;

pub mod domain_list;
pub mod key_explain;
pub mod settings_check;
pub mod status;
pub mod target_drain;
pub mod target_list;
pub mod ticket_check;
pub mod ticket_diff;
pub mod ticket_list;
pub mod ticket_show;
pub mod ticket_status;
pub mod ticket_submit;

/// Operates a yuccahill deployment.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, generate(arguments))]
pub struct Arguments {
    /// The operator address of any control process.
    #[bpaf(
        env("YUCCA_OPERATOR"),
        argument("URL"),
        fallback("http://127.0.0.1:9100".to_string()),
        display_fallback
    )]
    pub operator: String,
    /// The file with the operators' secret; the variable YUCCA_SECRET goes before it.
    #[bpaf(argument("FILE"), optional)]
    pub secret_file: Option<std::path::PathBuf>,
    /// Who sends; recorded with each ticket.
    #[bpaf(env("USER"), argument("NAME"), fallback("operator".to_string()))]
    pub sender: String,
    /// Print JSON instead of a table.
    pub json: bool,
    /// What to do.
    #[bpaf(external)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Change tickets.
    #[bpaf(command)]
    Ticket(#[bpaf(external(ticket))] Ticket),
    /// What the deployment does now: hosts, domains, leaders, versions, targets.
    #[bpaf(command)]
    Status,
    /// Keys.
    #[bpaf(command)]
    Key(#[bpaf(external(key))] Key),
    /// Targets.
    #[bpaf(command)]
    Target(#[bpaf(external(target))] Target),
    /// Failure domains.
    #[bpaf(command)]
    Domain(#[bpaf(external(domain))] Domain),
    /// Settings files.
    #[bpaf(command)]
    Settings(#[bpaf(external(settings))] Settings),
}

/// Change tickets.
#[derive(Debug, Clone, Bpaf)]
pub enum Ticket {
    /// Check a ticket file without a deployment; prints all findings.
    #[bpaf(command)]
    Check(#[bpaf(external(ticket_check::check))] ticket_check::Check),
    /// Show what a ticket file would change.
    #[bpaf(command)]
    Diff(#[bpaf(external(ticket_diff::diff))] ticket_diff::Diff),
    /// Submit a ticket file and wait until it is in force everywhere.
    #[bpaf(command)]
    Submit(#[bpaf(external(ticket_submit::submit))] ticket_submit::Submit),
    /// Tell, host by host, where a ticket is in force.
    #[bpaf(command)]
    Status(#[bpaf(external(ticket_status::status))] ticket_status::Status),
    /// Show a ticket: its content, its sender and its first answer.
    #[bpaf(command)]
    Show(#[bpaf(external(ticket_show::show))] ticket_show::Show),
    /// List the newest tickets.
    #[bpaf(command)]
    List,
}

/// Keys.
#[derive(Debug, Clone, Bpaf)]
pub enum Key {
    /// Tell what would happen to a request for a key now, and why.
    #[bpaf(command)]
    Explain(#[bpaf(external(key_explain::explain))] key_explain::Explain),
}

/// Targets.
#[derive(Debug, Clone, Bpaf)]
pub enum Target {
    /// Write a ticket that drains a target, or takes it back.
    #[bpaf(command)]
    Drain(#[bpaf(external(target_drain::drain))] target_drain::Drain),
    /// List targets with lane, standby, slots and state.
    #[bpaf(command)]
    List,
}

/// Failure domains.
#[derive(Debug, Clone, Bpaf)]
pub enum Domain {
    /// List failure domains with leader, version and hosts.
    #[bpaf(command)]
    List,
}

/// Settings files.
#[derive(Debug, Clone, Bpaf)]
pub enum Settings {
    /// Check settings files; prints all findings of all files.
    #[bpaf(command)]
    Check(#[bpaf(external(settings_check::check))] settings_check::Check),
}

impl Command {
    /// Carries the command out.
    ///
    /// # Errors
    /// Fails where input is faulty, no control process answers, or it refuses.
    pub async fn run(&self, client: &client::Client) -> Result<show::Report, Error> {
        match self {
            Self::Ticket(Ticket::Check(check)) => check.run(),
            Self::Ticket(Ticket::Diff(diff)) => diff.run(client).await,
            Self::Ticket(Ticket::Submit(submit)) => submit.run(client).await,
            Self::Ticket(Ticket::Status(status)) => status.run(client).await,
            Self::Ticket(Ticket::Show(show)) => show.run(client).await,
            Self::Ticket(Ticket::List) => ticket_list::run(client).await,
            Self::Status => status::run(client).await,
            Self::Key(Key::Explain(explain)) => explain.run(client).await,
            Self::Target(Target::Drain(drain)) => drain.run(client).await,
            Self::Target(Target::List) => target_list::run(client).await,
            Self::Domain(Domain::List) => domain_list::run(client).await,
            Self::Settings(Settings::Check(check)) => check.run(),
        }
    }
}
