//! The command line and environment of `carobshore-entry`, unchecked.

use clap::Parser;

/// Raw values of all settings. [`crate::settings::Settings`] is their checked form.
///
/// All values are text, so that flags and environment variables are checked in the same place and
/// errors name the setting, the value and what is allowed.
#[derive(Clone, Debug, Parser)]
#[command(
    name = "carobshore-entry",
    version,
    about = "The load balancer daemon of an entry VM"
)]
pub struct Flags {
    /// Name of this VM, as the platform's list has it.
    #[arg(long, env = "CAROBSHORE_VM_NAME")]
    pub vm_name: String,

    /// Failure domain of this VM.
    #[arg(long, env = "CAROBSHORE_DOMAIN")]
    pub domain: String,

    /// Address on which callers are served.
    #[arg(long, env = "CAROBSHORE_LISTEN", default_value = "0.0.0.0:8080")]
    pub listen: String,

    /// Address on which other entry VMs forward calls to this one.
    #[arg(long, env = "CAROBSHORE_FORWARD", default_value = "0.0.0.0:8081")]
    pub forward: String,

    /// Address of the remote procedure calls of peers and operators.
    #[arg(long, env = "CAROBSHORE_RPC", default_value = "0.0.0.0:8082")]
    pub rpc: String,

    /// Address of `/live`, `/ready` and `/metrics`.
    #[arg(long, env = "CAROBSHORE_ADMIN", default_value = "0.0.0.0:8083")]
    pub admin: String,

    /// Address of the platform's log.
    #[arg(long, env = "CAROBSHORE_LOG")]
    pub log: String,

    /// Address of the platform's list of VMs.
    #[arg(long, env = "CAROBSHORE_VM_LIST")]
    pub vm_list: String,

    /// Remote procedure call addresses of peers that are asked at start; may be repeated.
    #[arg(long = "peer", env = "CAROBSHORE_PEERS", value_delimiter = ',')]
    pub peers: Vec<String>,

    /// How targets are chosen: `random`, `two-choices` or `homes`.
    #[arg(long, env = "CAROBSHORE_POLICY", default_value = "homes")]
    pub policy: String,

    /// Number of home VMs of a service in each failure domain.
    #[arg(long, env = "CAROBSHORE_HOMES_PER_DOMAIN", default_value = "1")]
    pub homes_per_domain: String,

    /// Largest header section of a request.
    #[arg(long, env = "CAROBSHORE_MAX_HEADER", default_value = "32KiB")]
    pub max_header: String,

    /// Largest body of a request.
    #[arg(long, env = "CAROBSHORE_MAX_BODY", default_value = "4GiB")]
    pub max_body: String,

    /// Most connections of callers at the same time; forwarded calls have the same limit of their
    /// own.
    #[arg(long, env = "CAROBSHORE_MAX_CONNECTIONS", default_value = "10000")]
    pub max_connections: String,

    /// Time in which a caller has to send a whole header section, in seconds.
    #[arg(long, env = "CAROBSHORE_HEADER_TIMEOUT_S", default_value = "10")]
    pub header_timeout_s: String,

    /// Time for which an idle connection of a caller is kept open, in seconds.
    #[arg(long, env = "CAROBSHORE_KEEP_ALIVE_S", default_value = "75")]
    pub keep_alive_s: String,

    /// Time in which a connection to a target or a VM has to open, in milliseconds.
    #[arg(long, env = "CAROBSHORE_CONNECT_TIMEOUT_MS", default_value = "250")]
    pub connect_timeout_ms: String,

    /// Longest pause between two parts of a body, in milliseconds.
    #[arg(long, env = "CAROBSHORE_BODY_TIMEOUT_MS", default_value = "30000")]
    pub body_timeout_ms: String,

    /// Deadline of requests that name none, in milliseconds.
    #[arg(long, env = "CAROBSHORE_DEADLINE_MS", default_value = "10000")]
    pub deadline_ms: String,

    /// Time for which a stopping VM still accepts requests, in milliseconds.
    #[arg(long, env = "CAROBSHORE_DRAIN_NOTICE_MS", default_value = "5000")]
    pub drain_notice_ms: String,

    /// Time from the first signal after which the platform kills this process, in milliseconds; 0 if
    /// it does not. All requests are answered before that.
    #[arg(long, env = "CAROBSHORE_GRACE_MS", default_value = "0")]
    pub grace_ms: String,

    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    #[arg(long, env = "CAROBSHORE_LOG_LEVEL", default_value = "info")]
    pub log_level: String,
}
