//! Runs the client against a simulated log and records a transcript of its output.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use carobshore_standin::LogSettings;
use carobshore_standin::LogStandin;
use serde_json::Value;

/// The length of a record id as text, in bytes.
const ID_LENGTH: usize = 36;

/// A simulated log, and the transcript of the commands that were run against it.
pub(crate) struct Session {
    pub(crate) log: LogStandin,
    ids: Vec<String>,
    text: String,
}

/// A command that is still running.
pub(crate) struct Running {
    operator: String,
    args: Vec<String>,
    child: Child,
}

impl Session {
    pub(crate) fn new() -> Self {
        let settings = LogSettings {
            appends: 100_000,
            ..LogSettings::default()
        };
        Self {
            log: LogStandin::start(&settings).unwrap(),
            ids: Vec::new(),
            text: String::new(),
        }
    }

    pub(crate) fn start(&self, operator: &str, args: &[&str]) -> Running {
        let child = command(self.log.addr(), operator)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        Running {
            operator: operator.to_owned(),
            args: args.iter().map(|arg| (*arg).to_owned()).collect(),
            child,
        }
    }

    /// Waits for a command, adds it to the transcript and returns its exit code and output.
    pub(crate) fn finish(&mut self, running: Running) -> (i32, String) {
        let output = running.child.wait_with_output().unwrap();
        let code = output.status.code().unwrap();
        let args: Vec<_> = running.args.iter().map(|arg| quoted(arg)).collect();
        let shown = format!(
            "{}$ carobshore {}\n{}[{code}]\n\n",
            running.operator,
            args.join(" "),
            combined_output(&output)
        );
        let shown = self.normalize(&shown);
        self.text.push_str(&shown);
        (code, String::from_utf8(output.stdout).unwrap())
    }

    pub(crate) fn run(&mut self, operator: &str, args: &[&str]) -> (i32, String) {
        let running = self.start(operator, args);
        self.finish(running)
    }

    /// Runs a command that has to succeed, without adding it to the transcript, and parses its
    /// JSON.
    pub(crate) fn json(&self, operator: &str, args: &[&str]) -> Value {
        let output = command(self.log.addr(), operator)
            .arg("--json")
            .args(args)
            .output()
            .unwrap();
        assert!(
            output.status.success(),
            "{args:?}: {}",
            combined_output(&output)
        );
        serde_json::from_slice(&output.stdout).unwrap()
    }

    /// Publishes an intent and returns its id and its plan's digest.
    pub(crate) fn intent(&self, operator: &str, changes: &[&str]) -> (String, String) {
        let plan = self.json(operator, &[&["intent"], changes].concat());
        let field = |name: &str| plan[name].as_str().unwrap().to_owned();
        (field("intent"), field("digest"))
    }

    /// Publishes an intent, confirms it, and checks that it is in force.
    pub(crate) fn publish_and_confirm(&self, operator: &str, changes: &[&str]) {
        let (intent, digest) = self.intent(operator, changes);
        let confirmed = self.json(operator, &["confirm", &intent, "--digest", &digest]);
        assert_eq!(confirmed["in_force"], true);
    }

    /// Returns the transcript. Each record id is replaced by `ID-n`, numbered by first appearance.
    pub(crate) fn transcript(self) -> String {
        self.text
    }

    fn normalize(&mut self, text: &str) -> String {
        let addr = self.log.addr().to_string();
        let mut text = text.replace(&addr, "LOG");
        let mut start = 0;
        while start + ID_LENGTH <= text.len() {
            let id = text.get(start..start + ID_LENGTH).filter(|id| is_id(id));
            if let Some(id) = id.map(str::to_owned) {
                let known = self.ids.iter().position(|other| *other == id);
                let number = known.unwrap_or_else(|| {
                    self.ids.push(id.clone());
                    self.ids.len() - 1
                });
                text = text.replace(&id, &format!("ID-{number}"));
            }
            start += 1;
        }
        text
    }
}

/// Returns a command that runs the client in a fixed environment.
pub(crate) fn command(log: SocketAddr, operator: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobshore"));
    for (name, _) in std::env::vars().filter(|(name, _)| name.starts_with("CAROBSHORE_")) {
        command.env_remove(name);
    }
    command
        .env("CAROBSHORE_LOG", log.to_string())
        .env("CAROBSHORE_OPERATOR", operator)
        .env("CAROBSHORE_TIMEOUT", "20")
        .env("COLUMNS", "100")
        .stdin(Stdio::null());
    command
}

pub(crate) fn combined_output(output: &Output) -> String {
    let text = [&output.stdout[..], &output.stderr].concat();
    String::from_utf8(text).unwrap()
}

fn quoted(arg: &str) -> String {
    match arg.contains(' ') {
        true => format!("'{arg}'"),
        false => arg.to_owned(),
    }
}

fn is_id(text: &str) -> bool {
    let dashes = [8, 13, 18, 23];
    text.bytes().enumerate().all(|(index, byte)| {
        if dashes.contains(&index) {
            return byte == b'-';
        }
        byte.is_ascii_hexdigit() && !byte.is_ascii_uppercase()
    })
}
