//! Entry point of the `carobshore-gateway` daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use carobshore_gateway::daemon;
use carobshore_gateway::daemon::DaemonSettings;
use carobshore_gateway::flags::Flags;
use carobshore_gateway::log_output;
use carobshore_lib::domain_choice::crossing_settings::CrossingSettings;
use carobshore_lib::prelude::Error;
use carobshore_lib::prelude::ResultCode;
use carobshore_platform::boot_settings::BootSettings;
use carobshore_platform::boot_settings::PATH_VARIABLE;
use clap::Parser;

/// Exit status for invalid settings.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags = Flags::parse();
    let settings = match read_settings(&flags) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let result = log_output::start(flags.log_level).and_then(|log| {
        let result = daemon::run(settings);
        log.flush();
        result
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(flags: &Flags) -> Result<DaemonSettings, Error> {
    let from_env = || std::env::var_os(PATH_VARIABLE).map(PathBuf::from);
    let path = flags.settings.clone().or_else(from_env).ok_or_else(|| {
        Error::new(
            ResultCode::BadSetting,
            "no settings file is given",
            format!("use --settings or set `{PATH_VARIABLE}`"),
        )
    })?;
    Ok(DaemonSettings {
        boot: BootSettings::read(&path)?,
        path,
        log_rate: flags.log_rate,
        crossing: CrossingSettings {
            mode: flags.crossing,
            price: flags.crossing_ms_per_kib,
        },
        clients: flags.clients()?,
    })
}
