// A request crashes each target that runs it, and its caller sends it again five times.
world(#{ app: ["d1", "d1", "d1", "d2", "d2", "d2"], training: ["d1"] });
app("shop", 2);
check(apps_go_on(3000), "the app gets answers");
let last = "";
for attempt in 0..6 {
    last = ask(attempt % 3, "courier", "a <crash> of targets");
    restart_all();
    wait(500);
}
figure("crashes", crashes());
check(crashes() <= 2, "the request crashed at most two targets");
check(last == "quarantined", "the request is refused with an error of its own");
check(apps_go_on(3000), "the app gets answers");
check(keys_seen() == 0, "no target saw a key");
