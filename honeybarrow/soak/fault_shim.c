/*
 * Library preloaded into a forwarder under test. It steps the wall clock and injects system call errors.
 *
 * The controlling process maps the file named by HONEYBARROW_FAULT_CONTROL and changes it while the forwarder
 * runs; fault_shim.py defines the same layout. Without that variable the library has no effect. The monotonic
 * clock is never changed.
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

/* Same order as fault_shim.SystemCall. */
enum system_call {
    CALL_SOCKET, CALL_CONNECT, CALL_BIND, CALL_LISTEN, CALL_ACCEPT, CALL_RECV, CALL_SEND,
    CALL_SHUTDOWN, CALL_EPOLL_CTL, CALL_OPEN, CALL_READ, CALL_WRITE, CALL_FSYNC, CALL_RENAME,
    CALL_UNLINK, CALL_STAT, CALL_LIST, CALL_TRUNCATE, CALL_COUNT
};

struct rule {
    uint64_t until_ns;          /* end of the faults on the monotonic clock; 0: no faults */
    uint32_t fail_per_million;  /* calls that fail with one of the errnos */
    uint32_t short_per_million; /* transfers that move only a part of the bytes */
    uint32_t kill_per_million;  /* file writes that write a part and then kill the process */
    int32_t errnos[MAX_ERRNOS]; /* terminated by 0 */
    uint32_t hits;              /* faults injected so far */
};

struct control {
    uint32_t magic;
    uint32_t seed;
    int64_t wall_offset_ns;   /* added to the wall clock */
    uint64_t stall_until_ns;  /* end of the stalls on the monotonic clock */
    uint32_t stall_per_million; /* sends and file writes that are delayed */
    uint32_t max_stall_us;
    char folder[MAX_PATH_BYTES]; /* only files in it are subject to faults */
    char boot_id_file[MAX_PATH_BYTES]; /* replaces the machine's boot id, if not empty */
    struct rule rules[CALL_COUNT];
};

static struct control *control;
static uint64_t random_state;
static unsigned char is_in_folder[MAX_DESCRIPTORS];

/* Declares real_NAME and resolves it to the next definition of NAME, which this library overrides. */
#define RESOLVE_REAL(type, name, ...)                          \
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

/* Returns 1 with a probability of per_million / 1000000, else 0. */
static int draw(uint32_t per_million) { return per_million && next_random() % MILLION < per_million; }

static struct rule *active_rule(enum system_call call)
{
    if (!control) return NULL;
    struct rule *rule = &control->rules[call];
    return rule->until_ns && monotonic_ns() < rule->until_ns ? rule : NULL;
}

/* Returns whether the call has to fail, and sets errno if so. */
static int inject_error(enum system_call call)
{
    struct rule *rule = active_rule(call);
    if (!rule || !draw(rule->fail_per_million)) return 0;
    int count = 0;
    while (count < MAX_ERRNOS && rule->errnos[count]) count++;
    if (!count) return 0;
    rule->hits++;
    errno = rule->errnos[next_random() % (uint32_t)count];
    return 1;
}

/* Returns the number of bytes that a transfer may move: all, or a part of them. */
static size_t transfer_size(enum system_call call, size_t size)
{
    struct rule *rule = active_rule(call);
    if (!rule || size < 2 || !draw(rule->short_per_million)) return size;
    rule->hits++;
    return 1 + next_random() % (size - 1);
}

static void maybe_stall(void)
{
    if (!control || !control->stall_until_ns || monotonic_ns() >= control->stall_until_ns) return;
    if (!draw(control->stall_per_million) || !control->max_stall_us) return;
    long duration_us = (long)(next_random() % control->max_stall_us);
    struct timespec duration = {duration_us / 1000000, duration_us % 1000000 * 1000};
    syscall(SYS_nanosleep, &duration, NULL);
}

static int is_path_in_folder(const char *path)
{
    size_t length = control ? strnlen(control->folder, MAX_PATH_BYTES) : 0;
    return length && path && strncmp(path, control->folder, length) == 0;
}

static int is_folder_file(int descriptor)
{
    return descriptor >= 0 && descriptor < MAX_DESCRIPTORS && is_in_folder[descriptor];
}

static int track_open(const char *path, int descriptor)
{
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) is_in_folder[descriptor] = is_path_in_folder(path);
    return descriptor;
}

/* Clocks */

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

/* Sockets */

int socket(int domain, int type, int protocol)
{
    RESOLVE_REAL(int, socket, int, int, int);
    return domain == AF_INET && inject_error(CALL_SOCKET) ? -1 : real_socket(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    RESOLVE_REAL(int, connect, int, const struct sockaddr *, socklen_t);
    return inject_error(CALL_CONNECT) ? -1 : real_connect(descriptor, address, length);
}

int bind(int descriptor, const struct sockaddr *address, socklen_t length)
{
    RESOLVE_REAL(int, bind, int, const struct sockaddr *, socklen_t);
    return inject_error(CALL_BIND) ? -1 : real_bind(descriptor, address, length);
}

int listen(int descriptor, int backlog)
{
    RESOLVE_REAL(int, listen, int, int);
    return inject_error(CALL_LISTEN) ? -1 : real_listen(descriptor, backlog);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags)
{
    RESOLVE_REAL(int, accept4, int, struct sockaddr *, socklen_t *, int);
    return inject_error(CALL_ACCEPT) ? -1 : real_accept4(descriptor, address, length, flags);
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags)
{
    RESOLVE_REAL(ssize_t, recv, int, void *, size_t, int);
    if (inject_error(CALL_RECV)) return -1;
    return real_recv(descriptor, buffer, transfer_size(CALL_RECV, size), flags);
}

ssize_t send(int descriptor, const void *buffer, size_t size, int flags)
{
    RESOLVE_REAL(ssize_t, send, int, const void *, size_t, int);
    maybe_stall();
    if (inject_error(CALL_SEND)) return -1;
    return real_send(descriptor, buffer, transfer_size(CALL_SEND, size), flags);
}

int shutdown(int descriptor, int how)
{
    RESOLVE_REAL(int, shutdown, int, int);
    return inject_error(CALL_SHUTDOWN) ? -1 : real_shutdown(descriptor, how);
}

int epoll_ctl(int poller, int operation, int descriptor, struct epoll_event *event)
{
    RESOLVE_REAL(int, epoll_ctl, int, int, int, struct epoll_event *);
    if (operation != EPOLL_CTL_DEL && inject_error(CALL_EPOLL_CTL)) return -1;
    return real_epoll_ctl(poller, operation, descriptor, event);
}

/* Files */

static const char *boot_id_path(const char *path)
{
    if (control && control->boot_id_file[0] && path && strcmp(path, "/proc/sys/kernel/random/boot_id") == 0)
        return control->boot_id_file;
    return path;
}

static int open_file(int folder, const char *path, int flags, mode_t mode)
{
    if (is_path_in_folder(path) && inject_error(CALL_OPEN)) return -1;
    return track_open(path, (int)syscall(SYS_openat, folder, boot_id_path(path), flags, mode));
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
        if (inject_error(CALL_READ)) return -1;
        size = transfer_size(CALL_READ, size);
    }
    return syscall(SYS_read, descriptor, buffer, size);
}

ssize_t write(int descriptor, const void *buffer, size_t size)
{
    if (is_folder_file(descriptor)) {
        maybe_stall();
        struct rule *rule = active_rule(CALL_WRITE);
        if (rule && size > 1 && draw(rule->kill_per_million)) {
            rule->hits++;
            syscall(SYS_write, descriptor, buffer, 1 + next_random() % (size - 1));
            syscall(SYS_kill, getpid(), SIGKILL);
        }
        if (inject_error(CALL_WRITE)) return -1;
        size = transfer_size(CALL_WRITE, size);
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
    return is_folder_file(descriptor) && inject_error(CALL_FSYNC) ? -1 : (int)syscall(SYS_fsync, descriptor);
}

int fdatasync(int descriptor)
{
    return is_folder_file(descriptor) && inject_error(CALL_FSYNC)
        ? -1
        : (int)syscall(SYS_fdatasync, descriptor);
}

int ftruncate(int descriptor, off_t size)
{
    return is_folder_file(descriptor) && inject_error(CALL_TRUNCATE)
        ? -1
        : (int)syscall(SYS_ftruncate, descriptor, size);
}

int ftruncate64(int descriptor, off64_t size) { return ftruncate(descriptor, size); }

int rename(const char *from, const char *to)
{
    RESOLVE_REAL(int, rename, const char *, const char *);
    return is_path_in_folder(to) && inject_error(CALL_RENAME) ? -1 : real_rename(from, to);
}

int unlink(const char *path)
{
    RESOLVE_REAL(int, unlink, const char *);
    return is_path_in_folder(path) && inject_error(CALL_UNLINK) ? -1 : real_unlink(path);
}

int stat(const char *path, struct stat *result)
{
    RESOLVE_REAL(int, stat, const char *, struct stat *);
    return is_path_in_folder(path) && inject_error(CALL_STAT) ? -1 : real_stat(path, result);
}

DIR *opendir(const char *path)
{
    RESOLVE_REAL(DIR *, opendir, const char *);
    return is_path_in_folder(path) && inject_error(CALL_LIST) ? NULL : real_opendir(path);
}
