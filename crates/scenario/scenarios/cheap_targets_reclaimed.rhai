// All cheap targets of a data centre, which are all of its targets, are reclaimed together.
world(#{
    app: ["d1", "d2"], training: ["d1", "d1", "d2", "d2"], cheap: [1, 4, 5],
    capacity: 4,
});
trainer("t1", 6);
trainer("t2", 6);
app("shop", 4);
wait_samples("t1", 32);
crash(1);
crash(4);
crash(5);
print("the cheap targets of d2 are reclaimed");
wait(3000);
check(apps_go_on(3000), "apps get answers without them");
restart(1);
restart(4);
restart(5);
print("they are available again");
check(starts_again("d2", 15000), "d2 gets work again");
check(finish(6), "each sample came exactly once and fresh");
check(stop_apps(), "no app call failed");
check(keys_seen() == 0, "no target saw a key");
