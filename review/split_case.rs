// A change of the weights of split routes.

const ROUTES: usize = 8;
/// Fewest requests of a route from which its shares are judged.
const REQUESTS_MIN: usize = 200;

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

/// Exits with 1 if, on a route with enough requests, a part's share lies more than 0.2 off its weight's.
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
    while start.elapsed() < Duration::from_secs(32) {
        let due = start + Duration::from_millis(10 * sent);
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
        let route = random.below(ROUTES);
        if since > APPLY_S + STABLE_S {
            measured.push((route, id.clone()));
        }
        let address = addresses[random.below(addresses.len())];
        let path = format!("/lohu{route}/2f");
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
    let ids = |servers: &[SoundServer]| -> std::collections::HashSet<String> {
        servers.iter().flat_map(SoundServer::runs).collect()
    };
    let (stable_ids, canary_ids) = (ids(&stable), ids(&canary));
    let weight = if has_trouble() { 0.01 } else { 0.1 };
    let mut shares = Vec::new();
    for route in 0..ROUTES {
        let of_route: Vec<&String> =
            measured.iter().filter(|(of, _)| *of == route).map(|(_, id)| id).collect();
        let canary_count = of_route.iter().filter(|id| canary_ids.contains(**id)).count();
        let count = canary_count + of_route.iter().filter(|id| stable_ids.contains(**id)).count();
        if count >= REQUESTS_MIN {
            shares.push((route, count, canary_count as f64 / count as f64));
        }
    }
    let broken = shares.iter().filter(|(_, _, share)| (share - weight).abs() > SHARE_OFF_MAX).count();
    let list: Vec<String> = shares
        .iter()
        .map(|(route, count, share)| format!("{share:.2} of {count} on route {route}"))
        .collect();
    let text = format!(
        "sent over {} s after the acknowledgement, share of the second service ({weight} by its weight): {}; \
         {broken} of {} routes off; rule {}",
        APPLY_S + STABLE_S,
        list.join(", "),
        shares.len(),
        if broken > 0 { "broken" } else { "held" }
    );
    record.line(&text);
    println!("{text}");
    if shares.is_empty() { 2 } else { i32::from(broken > 0) }
}
