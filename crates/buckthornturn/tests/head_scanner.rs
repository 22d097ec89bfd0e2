//! Heads that the scanner finds in the input of a connection. Each case is also sent to the HTTP server, as requests that the
//! scanner finds elsewhere than the server would run without a caller's intent.

#![allow(clippy::unwrap_used)]

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;

use buckthornturn::callers::HeadBounds;
use buckthornturn::callers::HeadScanner;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

const BOUNDS: HeadBounds = HeadBounds { max_bytes: 16 << 10, max_headers: 100 };

/// Heads that the scanner finds in the input, added in parts of `part_bytes`.
fn scan(input: &[u8], part_bytes: usize) -> Vec<Request<()>> {
    let mut scanner = HeadScanner::new(BOUNDS);
    let mut found = Vec::new();
    for part in input.chunks(part_bytes) {
        scanner.add(part);
        while let Some(head) = scanner.take_head() {
            found.push(head.request);
        }
    }
    found
}

/// Heads that the HTTP server finds in the input, with its bodies read.
async fn serve(input: &[u8]) -> Vec<Request<()>> {
    let (mut caller, stream) = tokio::io::duplex(1 << 20);
    let found = Arc::new(Mutex::new(Vec::new()));
    let service = service_fn(|request: Request<Incoming>| {
        let found = Arc::clone(&found);
        async move {
            let (head, body) = request.into_parts();
            found.lock().unwrap().push(Request::from_parts(head, ()));
            let _ = body.collect().await;
            Ok::<_, Infallible>(Response::new(Full::<Bytes>::default()))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_headers(BOUNDS.max_headers).max_buf_size(BOUNDS.max_bytes).half_close(true);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let exchange = async {
        caller.write_all(input).await.unwrap();
        caller.shutdown().await.unwrap();
        let _ = caller.read_to_end(&mut Vec::new()).await;
    };
    let _ = tokio::join!(connection, exchange);
    let found = found.lock().unwrap();
    found.clone()
}

fn texts(heads: &[Request<()>]) -> Vec<String> {
    heads
        .iter()
        .map(|head| {
            format!("{} {} {:?} {:?}", head.method(), head.uri(), head.version(), head.headers())
        })
        .collect()
}

async fn check_agreement(input: &[u8]) -> usize {
    let served = texts(&serve(input).await);
    for part_bytes in [1, 7, input.len().max(1)] {
        let scanned = texts(&scan(input, part_bytes));
        assert!(served.starts_with(&scanned), "{scanned:?} of {served:?}");
    }
    scan(input, input.len().max(1)).len()
}

macro_rules! heads {
    ($($name:ident: $input:expr => $found:expr;)*) => {
        $(
            /// Guards against a scanner that takes other bytes for a request than the HTTP server.
            #[tokio::test]
            async fn $name() {
                assert_eq!(check_agreement($input.as_bytes()).await, $found);
            }
        )*
    };
}

const GET: &str = "GET /g HTTP/1.1\r\nhost: s\r\n\r\n";

heads! {
    one_head: GET => 1;
    many_heads: GET.repeat(40) => 40;
    heads_behind_a_body: format!("POST /p HTTP/1.1\r\nhost: s\r\ncontent-length: {}\r\n\r\n{GET}{GET}{GET}", GET.len()) => 3;
    a_body_of_no_bytes: format!("POST /p HTTP/1.1\r\nhost: s\r\ncontent-length: 0\r\n\r\n{GET}") => 2;
    a_chunked_body: format!("POST /p HTTP/1.1\r\nhost: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{GET}") => 0;
    a_chunked_body_with_a_length: format!("POST /p HTTP/1.1\r\nhost: s\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{GET}") => 0;
    two_lengths: format!("POST /p HTTP/1.1\r\nhost: s\r\ncontent-length: 0\r\ncontent-length: 0\r\n\r\n{GET}") => 0;
    a_list_of_lengths: format!("POST /p HTTP/1.1\r\nhost: s\r\ncontent-length: 0, 0\r\n\r\n{GET}") => 0;
    a_signed_length: format!("POST /p HTTP/1.1\r\nhost: s\r\ncontent-length: +0\r\n\r\n{GET}") => 0;
    an_empty_length: format!("GET /p HTTP/1.1\r\nhost: s\r\ncontent-length:\r\n\r\n{GET}") => 0;
    a_huge_length: format!("POST /p HTTP/1.1\r\nhost: s\r\ncontent-length: 18446744073709551616\r\n\r\n{GET}") => 0;
    a_body_of_a_get: format!("GET /p HTTP/1.1\r\nhost: s\r\ncontent-length: {}\r\n\r\n{GET}{GET}", GET.len()) => 2;
    an_upgrade: format!("GET /p HTTP/1.1\r\nhost: s\r\nupgrade: h2c\r\nconnection: upgrade\r\n\r\n{GET}") => 0;
    a_tunnel: format!("CONNECT s:80 HTTP/1.1\r\nhost: s\r\n\r\n{GET}") => 0;
    an_expectation: format!("POST /p HTTP/1.1\r\nhost: s\r\nexpect: 100-continue\r\ncontent-length: 0\r\n\r\n{GET}") => 0;
    a_caller_that_asks_to_close: format!("GET /p HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n{GET}") => 1;
    a_caller_that_keeps_the_connection: format!("GET /p HTTP/1.1\r\nhost: s\r\nconnection: Keep-Alive\r\n\r\n{GET}") => 2;
    other_options_of_a_connection: format!("GET /p HTTP/1.1\r\nhost: s\r\nconnection: keep-alive, close\r\n\r\n{GET}") => 1;
    http_1_0: format!("GET /p HTTP/1.0\r\nhost: s\r\n\r\n{GET}") => 0;
    the_preface_of_http_2: format!("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n{GET}") => 0;
    bare_line_feeds: format!("GET /p HTTP/1.1\nhost: s\n\n{GET}") => 0;
    an_empty_line_ahead: format!("\r\n{GET}") => 0;
    an_empty_line_between: format!("{GET}\r\n{GET}") => 1;
    a_folded_header: format!("GET /p HTTP/1.1\r\nhost: s\r\nx: a\r\n b\r\n\r\n{GET}") => 0;
    a_space_before_a_colon: format!("GET /p HTTP/1.1\r\nhost: s\r\ncontent-length : 5\r\n\r\n{GET}") => 0;
    too_many_headers: format!("GET /p HTTP/1.1\r\n{}\r\n{GET}", "x: y\r\n".repeat(101)) => 0;
    a_head_over_the_bound: format!("GET /p HTTP/1.1\r\nx: {}\r\n\r\n{GET}", "y".repeat(17 << 10)) => 0;
    an_absolute_target: format!("GET http://s/p?q HTTP/1.1\r\nhost: s\r\n\r\n{GET}") => 2;
    a_target_without_a_slash: format!("GET p HTTP/1.1\r\nhost: s\r\n\r\n{GET}") => 2;
    an_invalid_target: format!("GET /p\u{7f} HTTP/1.1\r\nhost: s\r\n\r\n{GET}") => 0;
    text_of_another_protocol: "\u{16}\u{3}\u{1}\u{2}" => 0;
}

const PARTS: [&str; 14] = [
    "GET /a HTTP/1.1\r\n",
    "POST /b HTTP/1.1\r\n",
    "GET /c HTTP/1.0\r\n",
    "host: s\r\n",
    "content-length: 5\r\n",
    "content-length: 27\r\n",
    "transfer-encoding: chunked\r\n",
    "connection: close\r\n",
    "connection: keep-alive\r\n",
    "\r\n",
    "\n",
    "hello",
    "0\r\n\r\n",
    "GET /g HTTP/1.1\r\nhost: s\r\n\r\n",
];

proptest! {
    /// Any sequence of pieces of requests, cut anywhere.
    #[test]
    fn the_scanner_finds_what_the_http_server_finds_or_less(
        parts in prop::collection::vec(0..PARTS.len(), 0..24), cut in any::<prop::sample::Index>()
    ) {
        let mut input: Vec<u8> = parts.iter().flat_map(|part| PARTS[*part].bytes()).collect();
        if !input.is_empty() {
            input.truncate(cut.index(input.len()) + 1);
        }
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(check_agreement(&input));
    }
}
