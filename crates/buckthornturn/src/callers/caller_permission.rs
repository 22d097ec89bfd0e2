//! Decides whether a request is allowed under a configuration.

use coordination::ids::CustomerId;
use coordination::ids::KeyId;
use http::StatusCode;

use crate::callers::Refusal;
use crate::configuration::ConfigurationState;
use crate::configuration::RouteSpec;
use crate::configuration::ServiceSpec;

/// Properties of a request that its authorization depends on, kept so that it can be checked again under a later
/// configuration.
#[derive(Clone, Debug)]
pub struct CallerPermission {
    /// Host name in the request, which selects the service; lower case, without port.
    pub host: Box<str>,
    /// Path of the request in the form that `canonical_path` returns.
    pub path: Box<str>,
    /// Identifier of the key in the request; `None` if it had no key or an invalid one.
    pub key: Option<KeyId>,
    /// Customer that the key belongs to; `None` without a valid key.
    pub customer: Option<CustomerId>,
}

impl CallerPermission {
    /// Finds the service and the route of the request, and checks that the caller may use them.
    ///
    /// # Errors
    ///
    /// Refuses the request if no route matches, if a valid key is required and missing or withdrawn, or if the
    /// customer may not use the service.
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
