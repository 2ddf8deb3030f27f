// One spoiled answer of a server, under load.

/// Requests a second, of which the servers serve 72: 3 with 6 slots at 250 ms of work.
const SPOILED_RATE: f64 = 100.0;
const SPOILED_AT: Duration = Duration::from_secs(6);
const SPOILED_LENGTH: Duration = Duration::from_secs(16);

/// Exits with 1 if more than half of the requests that are unanswered at the timeout of their route have
/// no answer half a second later.
fn spoiled_case(folder: &PathBuf, record: &Record) -> i32 {
    let store = Store::start();
    store.put("op/config", &config(7, ENTRY_TIMEOUT.as_secs_f64(), 2));
    let servers: Vec<SoundServer> = (0..3)
        .map(|index| {
            let work = Duration::from_millis(250);
            let server = SoundServer::start(&format!("i-0000000{index}"), 6, work, record);
            let entry = server_entry(server.address, "huvo11a", "gt-central-a", 6, "ready");
            store.put(&format!("servers/{}", server.name), &entry);
            server
        })
        .collect();
    let Some(gateways) = start_fleet(folder, 2, 6, &store) else { return 2 };
    let samples = Arc::new(Mutex::new(Vec::<(Duration, bool)>::new()));
    let mut random = Random::new();
    let start = Instant::now();
    let mut is_spoiled = !has_trouble();
    let mut sent = 0_u32;
    let mut threads = Vec::new();
    while start.elapsed() < SPOILED_LENGTH {
        let due = start + Duration::from_secs_f64(f64::from(sent) / SPOILED_RATE);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if !is_spoiled && start.elapsed() > SPOILED_AT {
            servers[0].spoils_next.store(true, Ordering::Relaxed);
            is_spoiled = true;
        }
        sent += 1;
        let gateway = gateways[random.below(gateways.len())].callers;
        let (samples, record) = (Arc::clone(&samples), record.clone());
        threads.push(std::thread::spawn(move || {
            let id = new_id();
            record.line(&format!("{id} sent to {gateway}"));
            let sent = Instant::now();
            let budget = Duration::from_millis(2_500);
            let seen = send(gateway, "POST", "/unsafe/2f", &id, 2_500, b"order", budget);
            let took = sent.elapsed();
            record.line(&format!("{id} {} after {} ms", describe(&seen), took.as_millis()));
            samples.lock().unwrap().push((took, matches!(seen, Seen::Answer(_))));
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    judge_late(&samples.lock().unwrap(), &gateways, record)
}
