//! HTTP interface of the target stand-in.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use standin::body_check::RequestStamp;
use standin::body_check::STAMP_HEADER;
use standin::json_client::JsonClient;
use standin::target_standin::AnswerContent;
use standin::target_standin::TargetBehaviour;
use standin::target_standin::TargetCounts;
use standin::target_standin::TargetStandin;
use tokio::net::TcpStream;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

struct TargetFixture {
    target: TargetStandin,
    control: JsonClient,
}

impl TargetFixture {
    async fn start(behaviour: Value) -> Self {
        let behaviour: TargetBehaviour = serde_json::from_value(behaviour).unwrap();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let target = TargetStandin::start("t".into(), any_port, behaviour).await.unwrap();
        let control = JsonClient::new(target.address());
        Self { target, control }
    }

    async fn send(&self, path: &str, headers: &[(&str, &str)]) -> Response<Incoming> {
        let stream = TcpStream::connect(self.target.address()).await.unwrap();
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection.map(drop));
        let mut builder = Request::post(path).header("host", "t");
        let stamp = RequestStamp::new("POST", path, b"body").to_string();
        builder = builder.header(STAMP_HEADER, stamp);
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(Bytes::from_static(b"body"))).unwrap();
        sender.send_request(request).await.unwrap()
    }

    async fn wait_counts(&self, ready: impl Fn(&TargetCounts) -> bool) -> TargetCounts {
        for _ in 0..2_000 {
            let counts = self.target.counts();
            if ready(&counts) {
                return counts;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the expected counts were not reached: {:?}", self.target.counts());
    }
}

macro_rules! target_case {
    ($name:ident, $behaviour:expr, |$fixture:ident| $body:block) => {
        #[tokio::test]
        async fn $name() {
            let $fixture = TargetFixture::start($behaviour).await;
            $body
        }
    };
}

target_case!(echoes_request, json!({ "work_ms": 0 }), |fixture| {
    let headers = [("x-request-id", "r-1"), ("buckthornturn-customer", "parish")];
    let response = fixture.send("/a?b=c", &headers).await;
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let echo: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(echo["request_id"], "r-1");
    assert_eq!(echo["customer"], "parish");
    assert_eq!(echo["path"], "/a");
    assert_eq!(echo["body_bytes"], 4);
    assert_eq!(echo["body_sha256"].as_str().unwrap().len(), 64);
});

target_case!(streams_its_own_content, json!({ "work_ms": 0 }), |fixture| {
    let response = fixture.send("/bytes/100000", &[("x-request-id", "r-1")]).await;
    let body = response.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(body.len(), 100_000);
    assert!(AnswerContent::new("r-1").matches(0, &body));
    assert!(!AnswerContent::new("r-2").matches(0, &body));
});

target_case!(sheds_over_its_slots, json!({ "slots": 1, "hang": true }), |fixture| {
    let first_request = tokio::time::timeout(Duration::from_millis(200), fixture.send("/", &[]));
    let (first_request, ()) = tokio::join!(first_request, async {
        fixture.wait_counts(|counts| counts.max_in_flight == 1).await;
        let response = fixture.send("/", &[("x-request-id", "r-2")]).await;
        assert_eq!(response.status(), 503);
        assert_eq!(response.headers()["target-shed"], "1");
    });
    assert!(first_request.is_err());
    let counts = fixture.wait_counts(|counts| counts.cancelled == 1).await;
    assert_eq!((counts.over_slots, counts.executed), (1, 0));
});

target_case!(counts_executions_by_id, json!({ "work_ms": 0 }), |fixture| {
    for id in ["r-1", "r-2", "r-1"] {
        fixture.send("/", &[("x-request-id", id)]).await;
    }
    let counts = fixture.target.counts();
    assert_eq!((counts.executed, counts.executed_twice, counts.posts_executed_twice), (3, 1, 1));
});

target_case!(stops_at_the_deadline, json!({ "work_ms": 60_000 }), |fixture| {
    let response = fixture.send("/", &[("x-request-timeout-ms", "20")]).await;
    assert_eq!(response.status(), 504);
    assert_eq!(fixture.target.counts().timed_out, 1);
});

target_case!(counts_keys_in_path_and_headers, json!({ "work_ms": 0 }), |fixture| {
    fixture.send("/?key=bt_1_2", &[]).await;
    fixture.send("/", &[("cookie", "key=bt_1_2")]).await;
    fixture.send("/", &[]).await;
    assert_eq!(fixture.target.counts().keys_seen, 2);
});

target_case!(report_follows_override_and_lag, json!({}), |fixture| {
    let override_update =
        json!({ "report": { "in_flight": 0, "healthy": false }, "draining": true });
    fixture.control.call(Method::PUT, "/control", override_update).await.unwrap();
    let report = fixture.control.call(Method::GET, "/health", Value::Null).await.unwrap();
    let expected = json!({ "healthy": false, "draining": true, "in_flight": 0, "slots": 4 });
    assert_eq!(report, expected);
    let lag_update = json!({ "report": { "lag_ms": 600_000 } });
    fixture.control.call(Method::PUT, "/control", lag_update).await.unwrap();
    let report = fixture.control.call(Method::GET, "/health", Value::Null).await.unwrap();
    assert_eq!(report["draining"], false);
});

target_case!(records_arrivals_after_draining, json!({ "work_ms": 0 }), |fixture| {
    fixture.send("/", &[]).await;
    assert_eq!(fixture.target.counts().last_arrival_after_draining_ms, None);
    fixture.control.call(Method::PUT, "/control", json!({ "draining": true })).await.unwrap();
    fixture.send("/", &[]).await;
    assert!(fixture.target.counts().last_arrival_after_draining_ms.is_some());
});
