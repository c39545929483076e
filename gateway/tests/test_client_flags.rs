//! Guards against defaults that an ordinary client meets, and against bounds that no one can mean.

use carobshore_gateway::client_settings::ClientSettings;
use carobshore_gateway::flags::Flags;
use clap::Parser;

fn parse(flags: &[&str]) -> Option<ClientSettings> {
    let flags = ["carobshore-gateway"].iter().chain(flags);
    Flags::try_parse_from(flags).ok()?.clients().ok()
}

#[test]
fn the_flags_have_the_defaults_of_the_settings() {
    assert_eq!(parse(&[]), Some(ClientSettings::default()));
}

#[test]
fn bounds_out_of_range_are_refused() {
    for flags in [
        ["--client-memory", "0"],
        ["--client-memory", "61"],
        ["--caller-connections", "0"],
        ["--address-connections", "0"],
        ["--control-connections", "15"],
        ["--pipelined", "0"],
        ["--pipelined", "1025"],
        ["--read-ahead", "1KiB"],
        ["--waiting-responses", "65MiB"],
        ["--stall-ms", "999"],
    ] {
        assert_eq!(parse(&flags), None, "{flags:?}");
    }
    assert!(parse(&["--address-connections", "9", "--read-ahead", "1MiB"]).is_some());
}
