//! Runs one case of the review: `cases NAME DIR`, where DIR is the folder of the case. Writes
//! `record.txt` there. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With `TROUBLE=0` in the environment, the case runs without its disruption.

mod backend;
mod framing;
mod gateway;
mod http;
mod keep_alive;
mod repeated_refusal;
mod site;
mod store;
mod uploads;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::site::Outcome;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, dir] = &args[..] else {
        eprintln!("usage: cases NAME DIR");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match name.as_str() {
        "uploads" => uploads::run(trouble),
        "repeated-refusal" => repeated_refusal::run(trouble),
        "framing" => framing::run(trouble),
        "keep-alive" => keep_alive::run(trouble),
        _ => return ExitCode::from(2),
    };
    let Outcome {
        lines,
        requests,
        broken,
        ran,
    } = outcome;
    let findings = lines.join("\n") + "\n";
    print!("{findings}");
    let text = format!("{findings}\nall requests:\n{}\n", requests.join("\n"));
    if std::fs::write(PathBuf::from(dir).join("record.txt"), text).is_err() || !ran {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(broken))
}
