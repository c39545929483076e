//! `carobshore completions`

use clap::Args as ClapArgs;
use clap::CommandFactory;
use clap_complete::Shell;

use crate::args::Args;
use crate::exit::Exit;

/// Print the completions for a shell.
#[derive(Debug, ClapArgs)]
pub(crate) struct CompletionsArgs {
    /// The shell.
    shell: Shell,
}

/// Prints the completions.
pub(crate) fn run(args: &CompletionsArgs) -> eyre::Result<Exit> {
    let mut command = Args::command();
    let mut text = Vec::new();
    clap_complete::generate(args.shell, &mut command, "carobshore", &mut text);
    print!("{}", String::from_utf8(text)?);
    Ok(Exit::Done)
}
