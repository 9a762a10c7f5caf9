// Every node is stopped and replaced in turn under load.
world(#{ app: ["d1", "d2"], training: ["d1", "d1", "d2", "d2"], capacity: 4 });
trainer("t1", 8);
app("shop", 4);
wait_samples("t1", 16);
let data_centres = ["d1", "d2", "d1"];
for node in 0..3 {
    check(stop_node(node), `n${node} stops`);
    add_node(data_centres[node]);
    check(apps_go_on(3000), "apps get answers");
}
check(finish(8), "each sample came exactly once and fresh");
check(stop_apps(), "no app call failed");
check(keys_seen() == 0, "no target saw a key");
