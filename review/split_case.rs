// A change of the weights of split routes.

const ROUTES: usize = 10;

fn split_config(version: u64, stable: &str, canary: &str) -> String {
    let routes: Vec<String> = (0..ROUTES)
        .map(|index| {
            format!(
                r#"{{"name":"r-split{index}","prefix":"/lohu{index}/","type":"safe","timeout_s":1.5,"goal_s":0.6,"priority":2,"split":[{{"service":"huvo11a","weight":{stable}}},{{"service":"wuno96b","weight":{canary}}}],"attempts":2}}"#
            )
        })
        .collect();
    let service = |name: &str| {
        format!(r#"{{"name":"{name}","health_path":"/healthz","max_conns":240,"protocol":"h1","tls":false}}"#)
    };
    format!(
        r#"{{"version":"r{version}","services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"hosts":[{{"host":"ficu95.example","paths":[{}]}}]}}"#,
        service("huvo11a"),
        service("wuno96b"),
        routes.join(",")
    )
}

/// Exits with 1 if a part's share lies more than 0.2 off its weight's.
fn split_case(folder: &PathBuf, record: &Record) -> i32 {
    const APPLY_S: f64 = 2.0;
    const STABLE_S: f64 = 3.0;
    const SHARE_OFF_MAX: f64 = 0.2;
    let store = Store::start();
    store.put("op/config", &split_config(7, "900", "100"));
    let start_service = |service: &str, from: u32| -> Vec<SoundServer> {
        (from..from + 2)
            .map(|index| {
                let work = Duration::from_millis(20);
                let server = SoundServer::start(&format!("i-0000000{index}"), 6, work, record);
                let entry = server_entry(server.address, service, "gt-central-a", 6, "ready");
                store.put(&format!("servers/{}", server.name), &entry);
                server
            })
            .collect()
    };
    let stable = start_service("huvo11a", 0);
    let canary = start_service("wuno96b", 2);
    let Some(gateways) = start_fleet(folder, 2, 6, &store) else { return 2 };
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let start = Instant::now();
    let mut changed_at = None;
    let mut sent = 0_u64;
    let mut random = Random::new();
    let mut measured = Vec::new();
    let mut threads = Vec::new();
    while start.elapsed() < Duration::from_secs(24) {
        let due = start + Duration::from_millis(25 * sent);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if changed_at.is_none() && start.elapsed() > Duration::from_secs(6) {
            changed_at = Some(Instant::now());
            if has_trouble() {
                store.put("op/config", &split_config(12, "0.99", "0.01"));
                record.line("the store accepted r12: weights 0.99 and 0.01");
            }
        }
        let id = new_id();
        let since = changed_at.map_or(0.0, |at: Instant| at.elapsed().as_secs_f64());
        if since > APPLY_S + STABLE_S {
            measured.push(id.clone());
        }
        let address = addresses[random.below(addresses.len())];
        let path = format!("/lohu{}/2f", random.below(ROUTES));
        let record = record.clone();
        threads.push(std::thread::spawn(move || {
            record.line(&format!("{id} sent to {address} {path}"));
            let seen = send(address, "GET", &path, &id, 2500, b"", Duration::from_secs(4));
            record.line(&format!("{id} {}", describe(&seen)));
        }));
        sent += 1;
    }
    for thread in threads {
        let _ = thread.join();
    }
    let count = |servers: &[SoundServer]| {
        let ran: Vec<String> = servers.iter().flat_map(SoundServer::runs).collect();
        measured.iter().filter(|id| ran.contains(id)).count()
    };
    let (stable_count, canary_count) = (count(&stable), count(&canary));
    let total = (stable_count + canary_count).max(1) as f64;
    let share = canary_count as f64 / total;
    let weight = if has_trouble() { 0.01 } else { 0.1 };
    let is_broken = (share - weight).abs() > SHARE_OFF_MAX;
    let text = format!(
        "of {total} requests sent over {} s after the acknowledgement, the second service ran {canary_count}: \
         share {share:.2}, by its weight {weight}; rule {}",
        APPLY_S + STABLE_S,
        if is_broken { "broken" } else { "held" }
    );
    record.line(&text);
    println!("{text}");
    if total < 200.0 { 2 } else { i32::from(is_broken) }
}
