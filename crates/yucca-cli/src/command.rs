//! Commands of `yucca`, one in each module.

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
    /// Operator address of any control process.
    #[bpaf(
        env("YUCCA_OPERATOR"),
        argument("URL"),
        fallback("http://127.0.0.1:9100".to_string()),
        display_fallback
    )]
    pub operator: String,
    /// File with the operators' secret. The environment variable YUCCA_SECRET takes precedence.
    #[bpaf(argument("FILE"), optional)]
    pub secret_file: Option<std::path::PathBuf>,
    /// Name of the sender, which is recorded with each ticket.
    #[bpaf(env("USER"), argument("NAME"), fallback("operator".to_string()))]
    pub sender: String,
    /// Print JSON instead of a table.
    pub json: bool,
    /// Command to run.
    #[bpaf(external)]
    pub command: Command,
}

/// Available commands:
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Check, submit and show change tickets.
    #[bpaf(command)]
    Ticket(#[bpaf(external(ticket))] Ticket),
    /// Show the current state of the deployment: hosts, domains, leaders, versions, targets.
    #[bpaf(command)]
    Status,
    /// Explain the routing of keys.
    #[bpaf(command)]
    Key(#[bpaf(external(key))] Key),
    /// List and drain targets.
    #[bpaf(command)]
    Target(#[bpaf(external(target))] Target),
    /// List failure domains.
    #[bpaf(command)]
    Domain(#[bpaf(external(domain))] Domain),
    /// Check settings files.
    #[bpaf(command)]
    Settings(#[bpaf(external(settings))] Settings),
}

/// Ticket commands:
#[derive(Debug, Clone, Bpaf)]
pub enum Ticket {
    /// Check a ticket file without a deployment and print all findings.
    #[bpaf(command)]
    Check(#[bpaf(external(ticket_check::check))] ticket_check::Check),
    /// Show what a ticket file would change.
    #[bpaf(command)]
    Diff(#[bpaf(external(ticket_diff::diff))] ticket_diff::Diff),
    /// Submit a ticket file and wait until it is in force everywhere.
    #[bpaf(command)]
    Submit(#[bpaf(external(ticket_submit::submit))] ticket_submit::Submit),
    /// Show for each host whether a ticket is in force.
    #[bpaf(command)]
    Status(#[bpaf(external(ticket_status::status))] ticket_status::Status),
    /// Show a ticket: its content, its sender and the version with which it was accepted.
    #[bpaf(command)]
    Show(#[bpaf(external(ticket_show::show))] ticket_show::Show),
    /// List the newest tickets.
    #[bpaf(command)]
    List,
}

/// Key commands:
#[derive(Debug, Clone, Bpaf)]
pub enum Key {
    /// Explain what would happen to a request for a key now.
    #[bpaf(command)]
    Explain(#[bpaf(external(key_explain::explain))] key_explain::Explain),
}

/// Target commands:
#[derive(Debug, Clone, Bpaf)]
pub enum Target {
    /// Print a ticket that drains a target or ends its drain.
    #[bpaf(command)]
    Drain(#[bpaf(external(target_drain::drain))] target_drain::Drain),
    /// List targets with their lane, standby, slots and state.
    #[bpaf(command)]
    List,
}

/// Failure domain commands:
#[derive(Debug, Clone, Bpaf)]
pub enum Domain {
    /// List domains: leader, versions, targets, and state as seen by the control process.
    #[bpaf(command)]
    List,
}

/// Settings file commands:
#[derive(Debug, Clone, Bpaf)]
pub enum Settings {
    /// Check settings files and print the findings of all files.
    #[bpaf(command)]
    Check(#[bpaf(external(settings_check::check))] settings_check::Check),
}

impl Command {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error if the input is invalid, the control process cannot be reached, or it
    /// refuses the request.
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
