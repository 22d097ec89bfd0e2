//! HTTP interface of the store stand-in, called through the client that hosts use.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use buckthornturn::interface::ObjectStore;
use buckthornturn::interface::StoreError;
use buckthornturn::settings::StoreSettings;
use buckthornturn::store::HttpStore;
use bytes::Bytes;
use http::Method;
use serde_json::Value;
use serde_json::json;
use standin::json_client::JsonClient;
use standin::store::StoreStandin;

struct StoreFixture {
    _store: StoreStandin,
    client: HttpStore,
    control: JsonClient,
}

impl StoreFixture {
    async fn start() -> Self {
        let store = StoreStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        let settings =
            StoreSettings { address: store.address(), timeout_ms: 500, calls_per_second: 1_000.0 };
        let client = HttpStore::new("host-1".into(), &settings);
        let control = JsonClient::new(store.address());
        Self { _store: store, client, control }
    }

    async fn control(&self, method: Method, path: &str, body: Value) -> Value {
        self.control.call(method, path, body).await.unwrap()
    }

    async fn faults(&self, faults: Value) {
        self.control(Method::PUT, "/faults", faults).await;
    }

    async fn put(&self, key: &str, text: &'static str) -> u64 {
        self.client.put(key, Bytes::from_static(text.as_bytes()), None).await.unwrap()
    }
}

macro_rules! store_case {
    ($name:ident, |$fixture:ident| $body:block) => {
        #[tokio::test]
        async fn $name() {
            let $fixture = StoreFixture::start().await;
            $body
        }
    };
}

store_case!(conditional_writes, |fixture| {
    let client = &fixture.client;
    let version = fixture.put("a", "1").await;
    let conflict = client.put("a", Bytes::from_static(b"2"), None).await;
    assert_eq!(conflict, Err(StoreError::Conflict { key: "a".into(), current: version }));
    let second = client.put("a", Bytes::from_static(b"2"), Some(version)).await.unwrap();
    assert!(second > version);
    assert!(client.put("a", Bytes::from_static(b"3"), Some(version)).await.is_err());
    assert!(client.delete("a", version).await.is_err());
    client.delete("a", second).await.unwrap();
    assert_eq!(client.get("a").await.unwrap(), None);
});

store_case!(lists_in_pages_by_key, |fixture| {
    for key in ["b/2", "a/1", "b/1", "b/3", "c/1"] {
        fixture.put(key, "x").await;
    }
    let page = fixture.client.list("b/", "", 2).await.unwrap();
    let keys: Vec<_> = page.objects.iter().map(|object| &*object.key).collect();
    assert_eq!(keys, ["b/1", "b/2"]);
    let rest = fixture.client.list("b/", "b/2", 2).await.unwrap();
    assert_eq!(rest.objects.len(), 1);
});

store_case!(watch_sees_changes_and_removals_once, |fixture| {
    let first = fixture.put("w/1", "x").await;
    let watch = fixture.client.watch("w/", first, Duration::from_secs(5));
    let write = async {
        fixture.put("other/1", "x").await;
        fixture.client.delete("w/1", first).await.unwrap();
    };
    let (batch, ()) = tokio::join!(watch, write);
    let batch = batch.unwrap();
    assert_eq!(batch.objects.len(), 1);
    assert_eq!(batch.objects[0].value, None);
    let empty_batch =
        fixture.client.watch("w/", batch.version, Duration::from_millis(20)).await.unwrap();
    assert!(empty_batch.objects.is_empty());
});

store_case!(value_over_the_limit_is_refused, |fixture| {
    let result = fixture.client.put("big", Bytes::from(vec![0; 1_000_001]), None).await;
    assert!(matches!(result, Err(StoreError::Refused { .. })), "{result:?}");
});

store_case!(store_that_is_down_refuses_without_effect, |fixture| {
    fixture.faults(json!({ "down": true })).await;
    let result = fixture.client.put("a", Bytes::new(), None).await;
    assert!(matches!(result, Err(StoreError::Unavailable { .. })), "{result:?}");
    fixture.faults(json!({})).await;
    assert_eq!(fixture.client.get("a").await.unwrap(), None);
});

store_case!(lost_answer_keeps_the_write, |fixture| {
    fixture.faults(json!({ "lose_answers": { "count": 1 } })).await;
    let result = fixture.client.put("a", Bytes::from_static(b"1"), None).await;
    assert!(matches!(result, Err(StoreError::AnswerLost { .. })), "{result:?}");
    assert!(fixture.client.get("a").await.unwrap().is_some());
});

store_case!(cut_client_gets_no_answer, |fixture| {
    fixture.faults(json!({ "cut": ["host-1"] })).await;
    let result = fixture.client.put("a", Bytes::from_static(b"1"), None).await;
    assert!(matches!(result, Err(StoreError::AnswerLost { .. })), "{result:?}");
    fixture.faults(json!({ "cut": ["host-2"] })).await;
    assert_eq!(fixture.client.get("a").await.unwrap(), None);
});

store_case!(dropped_watches_end_at_once, |fixture| {
    fixture.faults(json!({ "drop_watches": true })).await;
    let result = fixture.client.watch("a", 0, Duration::from_secs(5)).await;
    assert!(matches!(result, Err(StoreError::AnswerLost { .. })), "{result:?}");
});

store_case!(host_list_lags, |fixture| {
    let row = json!({
        "host": "h", "failure_domain": "d", "region": "r", "mesh": "127.0.0.1:1", "leaving": false,
    });
    fixture.control(Method::PUT, "/hosts/h", row).await;
    assert_eq!(fixture.client.hosts().await.unwrap().len(), 1);
    fixture.control(Method::PUT, "/hosts-lag", json!({ "lag_ms": 60_000 })).await;
    fixture.control(Method::DELETE, "/hosts/h", Value::Null).await;
    assert_eq!(fixture.client.hosts().await.unwrap().len(), 1);
    fixture.control(Method::PUT, "/hosts-lag", json!({ "lag_ms": 0 })).await;
    assert_eq!(fixture.client.hosts().await.unwrap().len(), 0);
});

store_case!(calls_are_counted_by_kind_and_client, |fixture| {
    fixture.put("a", "1").await;
    fixture.client.get("a").await.unwrap();
    fixture.client.get("b").await.unwrap();
    let counters = fixture.control(Method::GET, "/counters", Value::Null).await;
    assert_eq!(counters["kinds"], json!({ "put": 1, "get": 2 }));
    assert_eq!(counters["clients"]["host-1"]["get"], 2);
    assert!(counters["peak_per_second"].as_u64().unwrap() >= 1);
});
