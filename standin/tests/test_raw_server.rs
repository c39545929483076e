//! Guards against a server that ends a connection which it is to reset, so that tests of resets test
//! ends.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use carobshore_standin::raw_server::RawServer;
use carobshore_standin::raw_server::ServerAction;
use carobshore_standin::server::ANY_PORT;

/// Sends a request and returns what arrives, and how the connection ends.
fn exchange(action: ServerAction) -> (Vec<u8>, Result<(), ErrorKind>) {
    let server = RawServer::start(ANY_PORT, |_| false, move |_| action.clone()).expect("a server");
    let mut stream = TcpStream::connect(server.addr()).expect("a connection");
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("a write");
    let mut received = Vec::new();
    let end = stream.read_to_end(&mut received);
    (received, end.map(drop).map_err(|error| error.kind()))
}

#[test]
fn a_connection_is_reset_or_ended_as_the_handler_says() {
    for sent in [&b""[..], b"part"] {
        let (received, end) = exchange(ServerAction::SendAndClose(sent.to_vec()));
        assert_eq!((&*received, end), (sent, Ok(())));
        let (received, end) = exchange(ServerAction::SendAndReset(sent.to_vec()));
        assert_eq!((&*received, end), (sent, Err(ErrorKind::ConnectionReset)));
    }
}
