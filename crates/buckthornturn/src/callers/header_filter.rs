//! Removal of headers that a host must not pass on.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Prefix of the headers that this project defines between hosts, callers and targets.
pub const PRODUCT_HEADER_PREFIX: &str = "buckthornturn-";

const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes hop-by-hop headers, including those that `Connection` names; `Host` and `Content-Length` stay even if
/// named.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !matches!(*name, header::HOST | header::CONTENT_LENGTH))
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(PROXY_CONNECTION);
}

/// Removes all `Buckthornturn-*` headers, so that they never pass between a caller and a target.
pub fn remove_product_headers(headers: &mut HeaderMap) {
    let product: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PRODUCT_HEADER_PREFIX))
        .cloned()
        .collect();
    for name in product {
        headers.remove(name);
    }
}
