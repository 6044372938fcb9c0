//! `yucca-task`: runs the tasks of the workspace.

use std::path;
use std::process;

use bpaf::Bpaf;
use yucca_task::border;

/// Tasks of the workspace.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Task {
    /// Generate the border types from `schema/`.
    #[bpaf(command)]
    Border {
        /// Only check that the committed files are up to date.
        check: bool,
    },
}

fn main() -> process::ExitCode {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let result = match task().run() {
        Task::Border { check: true } => border::check(&root),
        Task::Border { check: false } => border::write(&root),
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}
