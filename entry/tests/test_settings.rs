//! Settings: their defaults, and errors that name the setting, the value and what is allowed.

use carobshore_entry::flags::Flags;
use carobshore_entry::settings::Settings;
use carobshore_lib::prelude::Error;
use carobshore_lib::prelude::ResultCode;
use clap::Parser;
use expect_test::expect;

const REQUIRED: [&str; 8] = [
    "--vm-name=entry-1",
    "--domain=muscat-a",
    "--log=127.0.0.1:1",
    "--vm-list=127.0.0.1:2",
    "--listen=127.0.0.1:0",
    "--forward=127.0.0.1:0",
    "--rpc=127.0.0.1:0",
    "--admin=127.0.0.1:0",
];

fn settings(extra: &[&str]) -> Result<Settings, Error> {
    let given = |flag: &&&str| {
        let name = flag.split('=').next().unwrap();
        !extra
            .iter()
            .any(|other| other.split('=').next() == Some(name))
    };
    let args = ["carobshore-entry"]
        .iter()
        .chain(REQUIRED.iter().filter(given));
    let flags = Flags::parse_from(args.chain(extra));
    Settings::try_from(flags)
}

/// Guards against accepting an invalid value, or reporting it without the setting or what is
/// allowed.
#[test]
fn bad_values_name_the_setting_the_value_and_what_is_allowed() {
    let cases = [
        "--vm-name=Entry_1",
        "--domain=",
        "--listen=localhost:80",
        "--peer=10.0.0.1:1,nobody",
        "--policy=best",
        "--homes-per-domain=0",
        "--max-header=2MiB",
        "--max-body=many",
        "--max-connections=-1",
        "--header-timeout-s=0",
        "--connect-timeout-ms=0.5",
        "--deadline-ms=600001",
        "--drain-notice-ms=1h",
        "--grace-ms=-1",
        "--log-level=off",
    ];
    let errors = cases.map(|case| {
        let error = settings(&[case]).unwrap_err();
        assert_eq!(error.code, ResultCode::BadSetting, "{error}");
        error.to_string()
    });
    expect![[r#"
        [1003] --vm-name (CAROBSHORE_VM_NAME) has the value `Entry_1`; use 1 to 54 lower-case letters, digits and `-`, starting with a letter or digit
        [1003] --domain (CAROBSHORE_DOMAIN) has the value ``; use 1 to 63 lower-case letters, digits, `-` and `.`, starting with a letter or digit
        [1003] --listen (CAROBSHORE_LISTEN) has the value `localhost:80`; use an IP address and a port, such as 10.0.0.7:8080
        [1003] --peer (CAROBSHORE_PEERS) has the value `nobody`; use IP addresses with ports, such as 10.0.0.7:8082, separated by commas
        [1003] --policy (CAROBSHORE_POLICY) has the value `best`; use `random`, `two-choices` or `homes`
        [1003] --homes-per-domain (CAROBSHORE_HOMES_PER_DOMAIN) has the value `0`; use a whole number from 1 to 100
        [1003] --max-header (CAROBSHORE_MAX_HEADER) has the value `2MiB`; use a size from 1KiB to 1MiB
        [1003] --max-body (CAROBSHORE_MAX_BODY) has the value `many`; use a size from 1KiB to 1024GiB
        [1003] --max-connections (CAROBSHORE_MAX_CONNECTIONS) has the value `-1`; use a whole number from 1 to 1000000
        [1003] --header-timeout-s (CAROBSHORE_HEADER_TIMEOUT_S) has the value `0`; use a whole number from 1 to 600
        [1003] --connect-timeout-ms (CAROBSHORE_CONNECT_TIMEOUT_MS) has the value `0.5`; use a whole number from 1 to 60000
        [1003] --deadline-ms (CAROBSHORE_DEADLINE_MS) has the value `600001`; use a whole number from 1 to 600000
        [1003] --drain-notice-ms (CAROBSHORE_DRAIN_NOTICE_MS) has the value `1h`; use a whole number from 0 to 600000
        [1003] --grace-ms (CAROBSHORE_GRACE_MS) has the value `-1`; use a whole number from 0 to 600000
        [1003] --log-level (CAROBSHORE_LOG_LEVEL) has the value `off`; use `error`, `warn`, `info`, `debug` or `trace`"#]].assert_eq(&errors.join("\n"));
}

/// Guards against defaults that differ from the documented ones.
#[test]
fn defaults_are_the_documented_ones() {
    let settings = settings(&["--peer=10.0.0.1:1,10.0.0.2:1"]).unwrap();
    expect![[r#"
        Settings {
            vm_name: "entry-1",
            domain: DomainId(
                "muscat-a",
            ),
            listen: 127.0.0.1:0,
            forward: 127.0.0.1:0,
            rpc: 127.0.0.1:0,
            admin: 127.0.0.1:0,
            log: 127.0.0.1:1,
            vm_list: 127.0.0.1:2,
            peers: [
                10.0.0.1:1,
                10.0.0.2:1,
            ],
            policy: Homes,
            homes: 1,
            limits: Limits {
                header: ByteSize(
                    32768,
                ),
                body: ByteSize(
                    4294967296,
                ),
                connections: 10000,
            },
            timeouts: Timeouts {
                header: 10s,
                keep_alive: 75s,
                connect: 250ms,
                body: 30s,
                deadline: 10s,
            },
            notice: 5s,
            grace: None,
            level: Info,
        }"#]]
    .assert_eq(&format!("{settings:#?}"));
}
