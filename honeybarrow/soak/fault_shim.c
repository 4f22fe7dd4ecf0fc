/*
 * Preloaded into a forwarder under test: steps its wall clock, and makes its system calls fail.
 *
 * The controlling process maps the same file and changes it while the forwarder runs. Layout and meaning of
 * the fields are those of fault_shim.py. Without HONEYBARROW_FAULT_CONTROL nothing is changed. The monotonic
 * clock is never touched.
 */
#define _GNU_SOURCE
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

#define MAGIC 0x4842464cu
#define MAX_ERRNOS 8
#define MAX_DESCRIPTORS 65536
#define MAX_PATH_BYTES 256
#define MILLION 1000000u

/* In the order of fault_shim.SystemCall. */
enum point {
    POINT_SOCKET, POINT_CONNECT, POINT_BIND, POINT_LISTEN, POINT_ACCEPT, POINT_RECV, POINT_SEND,
    POINT_SHUTDOWN, POINT_EPOLL_CTL, POINT_OPEN, POINT_READ, POINT_WRITE, POINT_FSYNC, POINT_RENAME,
    POINT_UNLINK, POINT_STAT, POINT_LIST, POINT_TRUNCATE, POINT_COUNT
};

struct rule {
    uint64_t until_ns;          /* monotonic; no fault from then on */
    uint32_t fail_per_million;  /* of the calls, with one of the errnos */
    uint32_t short_per_million; /* of the transfers, which move a part of the bytes */
    uint32_t kill_per_million;  /* of the file writes, which write a part and then kill the process */
    int32_t errnos[MAX_ERRNOS]; /* ends with 0 */
    uint32_t hits;              /* faults so far */
};

struct control {
    uint32_t magic;
    uint32_t seed;
    int64_t wall_offset_ns;   /* added to the wall clock */
    uint64_t stall_until_ns;  /* monotonic: until then calls may be stalled */
    uint32_t stall_per_million; /* of the sends and file writes */
    uint32_t max_stall_us;
    char folder[MAX_PATH_BYTES]; /* only files below it are subject to faults */
    char boot_id_file[MAX_PATH_BYTES]; /* read in place of the machine's own, if not empty */
    struct rule rules[POINT_COUNT];
};

static struct control *control;
static uint64_t random_state;
static unsigned char is_in_folder[MAX_DESCRIPTORS];

#define REAL(type, name, ...)                                  \
    static type (*real_##name)(__VA_ARGS__);                   \
    if (!real_##name) real_##name = (type (*)(__VA_ARGS__))dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void open_control(void)
{
    const char *path = getenv("HONEYBARROW_FAULT_CONTROL");
    if (!path) return;
    int descriptor = (int)syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC);
    if (descriptor < 0) return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    syscall(SYS_close, descriptor);
    if (mapped == MAP_FAILED || ((struct control *)mapped)->magic != MAGIC) return;
    control = mapped;
    random_state = 0x9e3779b97f4a7c15ull ^ control->seed ^ ((uint64_t)getpid() << 32);
}

static uint64_t monotonic_ns(void)
{
    struct timespec now;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * 1000000000ull + (uint64_t)now.tv_nsec;
}

static uint32_t next_random(void)
{
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (uint32_t)(random_state >> 32);
}

static int happens(uint32_t per_million) { return per_million && next_random() % MILLION < per_million; }

static struct rule *active_rule(enum point point)
{
    if (!control) return NULL;
    struct rule *rule = &control->rules[point];
    return rule->until_ns && monotonic_ns() < rule->until_ns ? rule : NULL;
}

/* Whether the call fails; sets errno then. */
static int fails(enum point point)
{
    struct rule *rule = active_rule(point);
    if (!rule || !happens(rule->fail_per_million)) return 0;
    int count = 0;
    while (count < MAX_ERRNOS && rule->errnos[count]) count++;
    if (!count) return 0;
    rule->hits++;
    errno = rule->errnos[next_random() % (uint32_t)count];
    return 1;
}

/* How many of the bytes a transfer may move: all, or a part of them. */
static size_t transfer_size(enum point point, size_t size)
{
    struct rule *rule = active_rule(point);
    if (!rule || size < 2 || !happens(rule->short_per_million)) return size;
    rule->hits++;
    return 1 + next_random() % (size - 1);
}

static void maybe_stall(void)
{
    if (!control || !control->stall_until_ns || monotonic_ns() >= control->stall_until_ns) return;
    if (!happens(control->stall_per_million) || !control->max_stall_us) return;
    long duration_us = (long)(next_random() % control->max_stall_us);
    struct timespec duration = {duration_us / 1000000, duration_us % 1000000 * 1000};
    syscall(SYS_nanosleep, &duration, NULL);
}

static int is_below_folder(const char *path)
{
    size_t length = control ? strnlen(control->folder, MAX_PATH_BYTES) : 0;
    return length && path && strncmp(path, control->folder, length) == 0;
}

static int is_folder_file(int descriptor)
{
    return descriptor >= 0 && descriptor < MAX_DESCRIPTORS && is_in_folder[descriptor];
}

static int note_open(const char *path, int descriptor)
{
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) is_in_folder[descriptor] = is_below_folder(path);
    return descriptor;
}

/* clocks */

int clock_gettime(clockid_t clock, struct timespec *now)
{
    int result = (int)syscall(SYS_clock_gettime, clock, now);
    if (result == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ns = (int64_t)now->tv_sec * 1000000000ll + now->tv_nsec + control->wall_offset_ns;
        now->tv_sec = ns / 1000000000ll;
        now->tv_nsec = ns % 1000000000ll;
    }
    return result;
}

int gettimeofday(struct timeval *now, void *zone)
{
    (void)zone;
    struct timespec precise;
    clock_gettime(CLOCK_REALTIME, &precise);
    now->tv_sec = precise.tv_sec;
    now->tv_usec = precise.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *result)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result) *result = now.tv_sec;
    return now.tv_sec;
}

/* sockets */

int socket(int domain, int type, int protocol)
{
    REAL(int, socket, int, int, int);
    return domain == AF_INET && fails(POINT_SOCKET) ? -1 : real_socket(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    REAL(int, connect, int, const struct sockaddr *, socklen_t);
    return fails(POINT_CONNECT) ? -1 : real_connect(descriptor, address, length);
}

int bind(int descriptor, const struct sockaddr *address, socklen_t length)
{
    REAL(int, bind, int, const struct sockaddr *, socklen_t);
    return fails(POINT_BIND) ? -1 : real_bind(descriptor, address, length);
}

int listen(int descriptor, int backlog)
{
    REAL(int, listen, int, int);
    return fails(POINT_LISTEN) ? -1 : real_listen(descriptor, backlog);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags)
{
    REAL(int, accept4, int, struct sockaddr *, socklen_t *, int);
    return fails(POINT_ACCEPT) ? -1 : real_accept4(descriptor, address, length, flags);
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags)
{
    REAL(ssize_t, recv, int, void *, size_t, int);
    if (fails(POINT_RECV)) return -1;
    return real_recv(descriptor, buffer, transfer_size(POINT_RECV, size), flags);
}

ssize_t send(int descriptor, const void *buffer, size_t size, int flags)
{
    REAL(ssize_t, send, int, const void *, size_t, int);
    maybe_stall();
    if (fails(POINT_SEND)) return -1;
    return real_send(descriptor, buffer, transfer_size(POINT_SEND, size), flags);
}

int shutdown(int descriptor, int how)
{
    REAL(int, shutdown, int, int);
    return fails(POINT_SHUTDOWN) ? -1 : real_shutdown(descriptor, how);
}

int epoll_ctl(int poller, int operation, int descriptor, struct epoll_event *event)
{
    REAL(int, epoll_ctl, int, int, int, struct epoll_event *);
    if (operation != EPOLL_CTL_DEL && fails(POINT_EPOLL_CTL)) return -1;
    return real_epoll_ctl(poller, operation, descriptor, event);
}

/* files */

static const char *boot_id_path(const char *path)
{
    if (control && control->boot_id_file[0] && path && strcmp(path, "/proc/sys/kernel/random/boot_id") == 0)
        return control->boot_id_file;
    return path;
}

static int open_file(int folder, const char *path, int flags, mode_t mode)
{
    if (is_below_folder(path) && fails(POINT_OPEN)) return -1;
    return note_open(path, (int)syscall(SYS_openat, folder, boot_id_path(path), flags, mode));
}

#define OPEN_MODE(flags)                            \
    mode_t mode = 0;                                \
    if ((flags) & (O_CREAT | O_TMPFILE)) {          \
        va_list arguments;                          \
        va_start(arguments, flags);                 \
        mode = (mode_t)va_arg(arguments, int);      \
        va_end(arguments);                          \
    }

int open(const char *path, int flags, ...)
{
    OPEN_MODE(flags)
    return open_file(AT_FDCWD, path, flags, mode);
}

int open64(const char *path, int flags, ...)
{
    OPEN_MODE(flags)
    return open_file(AT_FDCWD, path, flags, mode);
}

int openat(int folder, const char *path, int flags, ...)
{
    OPEN_MODE(flags)
    return open_file(folder, path, flags, mode);
}

int openat64(int folder, const char *path, int flags, ...)
{
    OPEN_MODE(flags)
    return open_file(folder, path, flags, mode);
}

ssize_t read(int descriptor, void *buffer, size_t size)
{
    if (is_folder_file(descriptor)) {
        if (fails(POINT_READ)) return -1;
        size = transfer_size(POINT_READ, size);
    }
    return syscall(SYS_read, descriptor, buffer, size);
}

ssize_t write(int descriptor, const void *buffer, size_t size)
{
    if (is_folder_file(descriptor)) {
        maybe_stall();
        struct rule *rule = active_rule(POINT_WRITE);
        if (rule && size > 1 && happens(rule->kill_per_million)) {
            rule->hits++;
            syscall(SYS_write, descriptor, buffer, 1 + next_random() % (size - 1));
            syscall(SYS_kill, getpid(), SIGKILL);
        }
        if (fails(POINT_WRITE)) return -1;
        size = transfer_size(POINT_WRITE, size);
    }
    return syscall(SYS_write, descriptor, buffer, size);
}

int close(int descriptor)
{
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) is_in_folder[descriptor] = 0;
    return (int)syscall(SYS_close, descriptor);
}

int fsync(int descriptor)
{
    return is_folder_file(descriptor) && fails(POINT_FSYNC) ? -1 : (int)syscall(SYS_fsync, descriptor);
}

int fdatasync(int descriptor)
{
    return is_folder_file(descriptor) && fails(POINT_FSYNC) ? -1 : (int)syscall(SYS_fdatasync, descriptor);
}

int ftruncate(int descriptor, off_t size)
{
    return is_folder_file(descriptor) && fails(POINT_TRUNCATE) ? -1
                                                               : (int)syscall(SYS_ftruncate, descriptor, size);
}

int ftruncate64(int descriptor, off64_t size) { return ftruncate(descriptor, size); }

int rename(const char *from, const char *to)
{
    REAL(int, rename, const char *, const char *);
    return is_below_folder(to) && fails(POINT_RENAME) ? -1 : real_rename(from, to);
}

int unlink(const char *path)
{
    REAL(int, unlink, const char *);
    return is_below_folder(path) && fails(POINT_UNLINK) ? -1 : real_unlink(path);
}

int stat(const char *path, struct stat *result)
{
    REAL(int, stat, const char *, struct stat *);
    return is_below_folder(path) && fails(POINT_STAT) ? -1 : real_stat(path, result);
}

DIR *opendir(const char *path)
{
    REAL(DIR *, opendir, const char *);
    return is_below_folder(path) && fails(POINT_LIST) ? NULL : real_opendir(path);
}
