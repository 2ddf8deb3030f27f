// A planned stop of one gateway while requests wait in its queue.

/// Longest time of a request by its route, and the time that its caller waits.
const STOP_TIMEOUT_S: f64 = 10.0;
/// Requests a second, of which the servers serve 39: 2 with 6 slots at 310 ms of work.
const STOP_RATE: f64 = 70.0;
const STOP_WORK: Duration = Duration::from_millis(310);
/// Gateways; `GATEWAYS` in the environment replaces it.
const STOP_GATEWAYS: usize = 1;
const STOP_SERVERS: usize = 2;
/// Time from SIGTERM to SIGKILL; `GRACE_S` in the environment replaces it.
const STOP_GRACE_S: u32 = 10;
const LOSS_SLACK: Duration = Duration::from_millis(200);
const STOP_AT: Duration = Duration::from_secs(16);
const STOP_LENGTH: Duration = Duration::from_secs(24);

/// Answers of the directory, as callers keep them: most for the time that it names, every third caller
/// three times as long.
struct Directory {
    lists: Arc<Mutex<Vec<(Instant, Vec<SocketAddr>)>>>,
}

impl Directory {
    fn start(directories: Vec<SocketAddr>, record: &Record) -> Self {
        let lists = Arc::new(Mutex::new(Vec::<(Instant, Vec<SocketAddr>)>::new()));
        let (shared, record) = (Arc::clone(&lists), record.clone());
        let look_up = move || {
            let path = "/lookup?name=ficu95.example&region=gt-central&zone=gt-central-a";
            for address in &directories {
                let Ok(answer) = get(*address, path, "directory", Duration::from_secs(1)) else {
                    continue;
                };
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let found: Vec<SocketAddr> =
                    text.split('"').filter_map(|part| part.parse().ok()).collect();
                if answer.status() != 200 || found.is_empty() {
                    continue;
                }
                let mut lists = shared.lock().unwrap();
                if lists.last().is_none_or(|(_, list)| *list != found) {
                    record.line(&format!("the directory names {found:?}"));
                }
                lists.push((Instant::now(), found));
                return;
            }
        };
        look_up();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(250));
                look_up();
            }
        });
        Self { lists }
    }

    fn newest(&self) -> Vec<SocketAddr> {
        self.lists.lock().unwrap().last().map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// The list that one caller uses, in random order: up to 1.5 s old, or 4.5 s for every third caller.
    fn pick(&self, random: &mut Random) -> Vec<SocketAddr> {
        let age_max = if random.below(3) == 0 { 4_500 } else { 1_500 };
        let age = Duration::from_millis(random.below(age_max) as u64);
        let lists = self.lists.lock().unwrap();
        let kept = lists.iter().rev().find(|(at, _)| at.elapsed() >= age).or(lists.first());
        let mut list = kept.map(|(_, list)| list.clone()).unwrap_or_default();
        let first = random.below(list.len().max(1));
        list.rotate_left(first);
        list
    }
}

/// What a caller saw of one request.
struct StopSample {
    id: String,
    gateway: SocketAddr,
    sent: Instant,
    ended: Instant,
    seen: Seen,
}

/// Exits with 1 if a request that the stopped gateway had read, and that no server ever got, ended with
/// its connection, without an answer, before its time was up.
fn stop_case(folder: &PathBuf, record: &Record) -> i32 {
    let from_environment = |name: &str, default: usize| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let gateway_count = from_environment("GATEWAYS", STOP_GATEWAYS);
    let grace_s = from_environment("GRACE_S", STOP_GRACE_S as usize) as u32;
    let store = Store::start();
    let text = config(7, STOP_TIMEOUT_S, 2).replace("\"goal_s\":0.6", "\"goal_s\":1.0");
    store.put("op/config", &text);
    let servers: Vec<SoundServer> = (0..STOP_SERVERS)
        .map(|index| {
            let server = SoundServer::start(&format!("i-0000000{index}"), 6, STOP_WORK, record);
            let entry = server_entry(server.address, "huvo11a", "gt-central-a", 6, "ready");
            store.put(&format!("servers/{}", server.name), &entry);
            server
        })
        .collect();
    let Some(gateways) = start_fleet(folder, gateway_count, grace_s, &store) else { return 2 };
    let directory = Directory::start(gateways.iter().map(|one| one.directory).collect(), record);
    let samples = Arc::new(Mutex::new(Vec::<StopSample>::new()));
    let mut random = Random::new();
    let start = Instant::now();
    let mut stopped: Option<(SocketAddr, Instant)> = None;
    let mut sent = 0_u32;
    let mut threads = Vec::new();
    while start.elapsed() < STOP_LENGTH {
        let due = start + Duration::from_secs_f64(f64::from(sent) / STOP_RATE);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if stopped.is_none() && has_trouble() && start.elapsed() > STOP_AT {
            let named = directory.newest();
            let Some(gateway) = gateways.iter().find(|one| named.contains(&one.callers)) else {
                return 2;
            };
            record.line(&format!("SIGTERM to {} at {}", gateway.name, gateway.callers));
            gateway.signal("TERM");
            stopped = Some((gateway.callers, Instant::now()));
        }
        sent += 1;
        let list = directory.pick(&mut random);
        let (samples, record) = (Arc::clone(&samples), record.clone());
        threads.push(std::thread::spawn(move || {
            let id = new_id();
            let budget_ms = (STOP_TIMEOUT_S * 1_000.0) as u64;
            let patience = Duration::from_millis(budget_ms + 1_000);
            for gateway in list {
                let sent = Instant::now();
                record.line(&format!("{id} sent to {gateway}"));
                let seen = send(gateway, "POST", "/unsafe/2f", &id, budget_ms, b"order", patience);
                let ended = Instant::now();
                let took = ended.duration_since(sent).as_millis();
                record.line(&format!("{id} {} after {took} ms", describe(&seen)));
                let is_unsent =
                    matches!(&seen, Seen::Closed(cause) if cause.starts_with("connect"));
                samples.lock().unwrap().push(StopSample { id: id.clone(), gateway, sent, ended, seen });
                if !is_unsent {
                    break;
                }
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let arrived: std::collections::HashSet<String> =
        servers.iter().flat_map(SoundServer::arrivals).collect();
    let samples = samples.lock().unwrap();
    let mut lost = 0;
    let mut served = 0;
    for sample in samples.iter() {
        served += u32::from(matches!(&sample.seen, Seen::Answer(answer) if answer.status() == 200));
        let took = sample.ended.duration_since(sample.sent);
        // An end of the stream, no reset: the gateway had read all bytes of the request.
        let is_closed = matches!(&sample.seen, Seen::Closed(cause) if cause == NO_ANSWER);
        let is_in_time = took > LOSS_SLACK && took.as_secs_f64() < STOP_TIMEOUT_S;
        let Some((gateway, stopped_at)) = stopped else { continue };
        let is_after_stop = sample.gateway == gateway && sample.ended > stopped_at;
        if is_closed && is_in_time && is_after_stop && !arrived.contains(&sample.id) {
            lost += 1;
            let offset = match sample.sent.checked_duration_since(stopped_at) {
                Some(after) => format!("{:.2} s after", after.as_secs_f64()),
                None => format!("{:.2} s before", (stopped_at - sample.sent).as_secs_f64()),
            };
            record.line(&format!(
                "LOST {}: sent {offset} the SIGTERM, closed without an answer after {} ms, never reached \
                 a server",
                sample.id,
                took.as_millis()
            ));
        }
    }
    let text = format!(
        "{} requests, {served} served; read by the stopped gateway, never passed on and closed without an \
         answer: {lost}; rule {}",
        samples.len(),
        if lost > 0 { "broken" } else { "held" }
    );
    record.line(&text);
    println!("{text}");
    if served == 0 { 2 } else { i32::from(lost > 0) }
}
