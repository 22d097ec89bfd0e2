//! Whether a request may be made under a configuration.

use coordination::ids::CustomerId;
use coordination::ids::KeyId;
use http::StatusCode;

use crate::callers::Refusal;
use crate::configuration::ConfigurationState;
use crate::configuration::RouteSpec;
use crate::configuration::ServiceSpec;

/// What a request was allowed for; can be asked again under a later configuration.
#[derive(Clone, Debug)]
pub struct CallerPermission {
    /// Service's host name that the request named.
    pub host: Box<str>,
    /// Canonical path of the request.
    pub path: Box<str>,
    /// Key that it showed, if that was valid.
    pub key: Option<KeyId>,
    /// Customer of the key.
    pub customer: Option<CustomerId>,
}

impl CallerPermission {
    /// Service and route that the request may use.
    ///
    /// # Errors
    ///
    /// Says why it may not be made.
    pub fn authorize<'a>(
        &self,
        state: &'a ConfigurationState,
    ) -> Result<(&'a ServiceSpec, &'a RouteSpec), Refusal> {
        let (service, route) = state
            .route_for(&self.host, &self.path)
            .ok_or_else(|| Refusal::not_run(StatusCode::FORBIDDEN, "no-route"))?;
        if route.open && self.key.is_none() {
            return Ok((service, route));
        }
        let key = self.key.as_ref().and_then(|key| state.keys.get(key));
        let customer = match key {
            Some(record) if !record.withdrawn => &record.customer,
            _ if route.open => return Ok((service, route)),
            _ => return Err(Refusal::not_run(StatusCode::UNAUTHORIZED, "key")),
        };
        let spec = state.customers.get(customer);
        match route.open || spec.is_some_and(|spec| spec.services.contains(&service.name)) {
            true => Ok((service, route)),
            false => Err(Refusal::not_run(StatusCode::FORBIDDEN, "not-allowed")),
        }
    }
}
