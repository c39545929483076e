//! Logging of the simulator binaries.

use flexi_logger::Logger;
use flexi_logger::LoggerHandle;

/// Starts JSON logging to standard error at `level`; `RUST_LOG` overrides it.
pub fn start(level: &str) -> eyre::Result<LoggerHandle> {
    let spec = format!("{level}, ntex=warn, ntex_server=warn, ntex_rt=warn");
    let logger = Logger::try_with_env_or_str(spec)?;
    Ok(logger.format(flexi_logger::json_format).start()?)
}
