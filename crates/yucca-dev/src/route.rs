//! Matches requests against the routes and key rules of a ticket's service.

use bytes::Bytes;
use yucca_wire::ticket;

/// Returns the first route of a service that matches a method and a full path (with the service's
/// prefix).
pub fn find<'a>(
    service: &'a ticket::Service,
    method: &str,
    path: &str,
) -> Option<&'a ticket::Route> {
    let rest = path.strip_prefix(service.prefix.as_str())?;
    let mut routes = service.routes.iter();
    routes.find(|route| method_matches(route, method) && path_matches(&route.path, rest))
}

fn method_matches(route: &ticket::Route, method: &str) -> bool {
    route
        .method
        .as_deref()
        .is_none_or(|expected| expected == method)
}

fn path_matches(pattern: &str, path: &str) -> bool {
    let mut segments = path.split('/').filter(|segment| !segment.is_empty());
    for expected in pattern.split('/').filter(|segment| !segment.is_empty()) {
        if expected == "**" {
            return true;
        }
        match segments.next() {
            Some(segment) if expected == "*" || expected == segment => {}
            _ => return false,
        }
    }
    segments.next().is_none()
}

/// Returns the key of a request under a service's key rule, or `None` if the request has no key or
/// the service is a pool.
pub fn key<T>(service: &ticket::Service, request: &http::Request<T>) -> Option<Bytes> {
    let ticket::Kind::Keyed(keyed) = &service.kind else {
        return None;
    };
    match &keyed.key {
        ticket::KeyRule::Header(name) => {
            let value = request.headers().get(name)?;
            Some(Bytes::copy_from_slice(value.as_bytes()))
        }
        ticket::KeyRule::Segment(index) => {
            let rest = request.uri().path().strip_prefix(&service.prefix)?;
            let mut segments = rest.split('/').filter(|segment| !segment.is_empty());
            let segment = segments.nth(*index as usize)?;
            Some(Bytes::copy_from_slice(segment.as_bytes()))
        }
        ticket::KeyRule::Query(name) => {
            let mut pairs = request.uri().query()?.split('&');
            let value = pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
            Some(Bytes::copy_from_slice(value.as_bytes()))
        }
    }
}
