//! The manifest of a small deployment, like that of the site `ltshn-rota`.

/// Routes of each kind to the model service `lm` and the applications.
pub fn manifest(version: u64) -> String {
    manifest_with(version, 16_384)
}

/// The same with another `max-header-bytes`.
pub fn manifest_with(version: u64, max_head: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, slo: u64, lines: &str| {
        format!(
            r#"{{"name":"r-{name}","host":"site.example","path-prefix":"/{name}/","kind":"{kind}","timeout-ms":{timeout},"slo-ms":{slo},"priority":1,"service":"{service}","attempts":2,"public":false{lines}}}"#
        )
    };
    let resumable = r#","sticky":true,"resumable":true,"gap-aim-ms":200"#;
    let once = r#","sticky":true,"resumable":false,"gap-aim-ms":200"#;
    let routes = [
        route("draft", "stream", "lm", 10_000, 300, resumable),
        route("letter", "stream", "lm", 10_000, 300, once),
        route("swap", "unsafe", "app", 3_000, 300, ""),
        route("roster", "safe", "app", 3_000, 300, ""),
        route("app0", "safe", "app0", 3_000, 300, ""),
        route("app1", "safe", "app1", 3_000, 300, ""),
        route("app2", "safe", "app2", 3_000, 300, ""),
        route("app3", "safe", "app3", 3_000, 300, ""),
    ];
    let app = |number| {
        format!(
            r#",{{"name":"app{number}","health-path":"/health","max-conns":248,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}}"#
        )
    };
    let apps: String = (0..4).map(app).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"lm","health-path":"/health","max-conns":976,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":36.0,"engine":{{"slots":16,"kv-tokens":450000,"kv-bytes":327680,"link-mbps":400000.0,"stride":46,"models":[{{"name":"m"}}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"loads-per-s":0.0,"loads_at_once":8,"delays":[],"usual":{{"prompt":13239,"answer":1540}},"hop-ms":0.1}}}},{{"name":"app","health-path":"/health","max-conns":248,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}}{apps}],"limits":{{"max-header-bytes":{max_head},"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// The key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
