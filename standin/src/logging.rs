//! Log output of the binaries.

use flexi_logger::Logger;
use flexi_logger::LoggerHandle;

/// Starts structured logging to standard error; `RUST_LOG` overrides the level.
pub fn start() -> eyre::Result<LoggerHandle> {
    let logger = Logger::try_with_env_or_str("info, ntex=warn, ntex_server=warn, ntex_rt=warn")?;
    Ok(logger.format(flexi_logger::json_format).start()?)
}
