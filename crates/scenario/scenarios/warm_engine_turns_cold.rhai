// Warm engines turn cold without warning while they run calls.
world(#{
    app: ["d1", "d2"], training: ["d1", "d1", "d2", "d2"],
    capacity: 8, cold_capacity: 2, cold_ms: 1500,
});
for engine in 0..6 {
    warm(engine);
}
trainer("t1", 4);
trainer("t2", 4);
app("shop", 2);
wait_samples("t1", 32);
reset(2);
print("e2 turns cold");
wait(2000);
reset(4);
print("e4 turns cold");
wait(2000);
figure("crashes", crashes());
check(crashes() == 0, "no cold engine got more than it can handle");
restart_all();
check(finish(4), "each sample came exactly once and fresh");
check(stop_apps(), "no app call failed");
check(keys_seen() == 0, "no target saw a key");
