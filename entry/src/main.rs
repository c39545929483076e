//! The daemon `carobshore-entry`.

use std::process::ExitCode;

use carobshore_entry::entry_vm::EntryVm;
use carobshore_entry::flags::Flags;
use carobshore_entry::settings::Settings;
use clap::Parser;
use eyre::WrapErr;

/// Exit status when the settings are wrong.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let settings = match Settings::try_from(Flags::parse()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> eyre::Result<()> {
    let _logger = flexi_logger::Logger::with(settings.level)
        .format(flexi_logger::json_format)
        .start()
        .wrap_err("cannot start the logger")?;
    let vm = EntryVm::start(settings)?;
    let signals = vm.stop_handle().follow_signals();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::spawn(move || runtime.block_on(signals));
    vm.wait()
}
