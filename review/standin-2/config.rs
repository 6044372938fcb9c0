//! Configurations that the operator sends.

/// Host of the routes.
pub const HOST: &str = "kelani.example";

/// Path of reads, which may run more than once and carry a key.
pub const READS: &str = "/reads/x";

/// Path of writes, which may run once.
pub const WRITES: &str = "/writes/x";

/// Services: `desk` is divided by key, `office` is not.
pub const DESK: &str = "desk";
pub const OFFICE: &str = "office";

/// Returns the first configuration.
pub fn first(limits: &str, write_timeout_s: f64) -> String {
    format!(
        r#"{{"upsert":{{"resources":[
{{"resource-kind":"routes","metadata":{{"name":"reads","version":"r1"}},"spec":{{"host":"{HOST}","path-prefix":"/reads/","route-type":"safe","timeout-s":2,"target-latency-s":0.4,"priority":2,"service":"{DESK}","max-attempts":2}}}},
{{"resource-kind":"routes","metadata":{{"name":"writes","version":"r1"}},"spec":{{"host":"{HOST}","path-prefix":"/writes/","route-type":"unsafe","timeout-s":{write_timeout_s},"target-latency-s":0.5,"priority":1,"service":"{OFFICE}","max-attempts":2}}}},
{{"resource-kind":"services","metadata":{{"name":"{DESK}","version":"r1"}},"spec":{{"health-path":"/health","max-connections":130,"protocol":"h1","tls":false,"sharded":true,"warm-s":2.0,"grants":"heartbeat"}}}},
{{"resource-kind":"services","metadata":{{"name":"{OFFICE}","version":"r1"}},"spec":{{"health-path":"/health","max-connections":130,"protocol":"h1","tls":false}}}},
{}]}},"remove":{{"routes":[]}}}}"#,
        self::limits("r1", limits)
    )
}

/// Returns the item of the limits.
pub fn limits(version: &str, max_header_bytes: &str) -> String {
    format!(
        r#"{{"resource-kind":"limits","metadata":{{"version":"{version}"}},"spec":{{"max-header-bytes":{max_header_bytes},"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}}}"#
    )
}
