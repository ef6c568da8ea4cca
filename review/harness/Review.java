import java.nio.file.Path;

/** Frame of all cases: where the record goes, whether the disruption is left out, and the exit code. */
abstract class Review {
    /** Whether the disruption takes place; `TROUBLE=0` leaves it out. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long MAX_MILLIS = 115_000;

    /** Plays the case. Returns whether the rule held. */
    abstract boolean play() throws Exception;

    static void run(Review review, String[] arguments) {
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(MAX_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            Record.log("the case did not end in time");
            System.exit(2);
        });
        limit.setDaemon(true);
        limit.start();
        int code;
        try {
            Record.open(Path.of(arguments[0]).resolve("record.txt"));
            code = review.play() ? 0 : 1;
            Record.log(code == 0 ? "the rule held" : "the rule was broken");
        } catch (Throwable e) {
            e.printStackTrace();
            Record.log("the case could not run: %s", e);
            code = 2;
        }
        System.exit(code);
    }
}
