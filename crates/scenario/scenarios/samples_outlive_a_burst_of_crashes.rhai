// Training targets crash one after the other while they run the same samples, then all is calm.
world(#{ app: ["d1"], training: ["d1", "d1", "d2"], capacity: 4 });
trainer("t1", 3);
wait_samples("t1", 8);
for burst in 0..9 {
    crash(1 + burst % 3);
    wait(400);
    restart(1 + burst % 3);
    wait(200);
}
print("the training targets are calm again");
check(finish(3), "each sample came exactly once and fresh");
check(keys_seen() == 0, "no target saw a key");
