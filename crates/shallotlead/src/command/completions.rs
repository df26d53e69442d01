//! `shallotlead completions`: completion of subcommands, kinds and columns in the shell.

use gumdrop::Options;
use shallotlead_table::{column::Column, row::Kind};

use crate::command::Failure;

/// Arguments of the subcommand.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the shell: bash")]
    shell: String,
}

/// Prints the script for the shell.
pub(crate) fn run(arguments: &Arguments, commands: &str) -> Result<(), Failure> {
    if arguments.shell != "bash" {
        let reason = format!("`{}`: expected bash", arguments.shell);
        return Err(Failure::Usage(reason));
    }
    let names = |list: &str| {
        let first = |it: &str| it.split_whitespace().next().map(str::to_owned);
        list.lines().filter_map(first).collect::<Vec<_>>().join(" ")
    };
    let commands = names(commands);
    let actions = names(crate::command::table::Arguments::command_list().unwrap_or_default());
    let columns = Column::ALL.iter().map(|it| it.as_str()).collect::<Vec<_>>().join(" ");
    let kinds = Kind::ALL.map(Kind::as_str);
    let rows = kinds.map(|it| format!("{it}/")).join(" ");
    let kinds = kinds.join(" ");
    println!(
        r#"_shallotlead() {{
  local word="${{COMP_WORDS[COMP_CWORD]}}" choices="{commands}"
  if [[ "${{COMP_WORDS[1]}}" == table ]]; then
    case "$COMP_CWORD" in
      2) choices="{actions}" ;;
      3) case "${{COMP_WORDS[2]}}" in
           show|import|export) choices="{kinds}" ;;
           *) choices="{rows}"; compopt -o nospace ;;
         esac ;;
      4) choices="{columns}" ;;
      *) choices="" ;;
    esac
  elif (( COMP_CWORD > 1 )); then
    choices=""
  fi
  COMPREPLY=($(compgen -W "$choices" -- "$word"))
}}
complete -o default -F _shallotlead shallotlead"#
    );
    Ok(())
}
